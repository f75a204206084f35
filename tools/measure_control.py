"""The figures of `tools/measure control`, over real processes."""

import contextlib
import re
import shutil
import subprocess
import tempfile
import threading
import time

import control_trial
import figures
from polling import poll
from small_site import BIN, KRESBA, TSUKUSHI, Site, temporary_site

COMMITS = 500
PILE = 10000
FAILOVER_SECONDS = 8
MEMBER_LEASE_MS = 3000
IN_FORCE_ROUNDS = 5
TRAFFIC_SECONDS = 20
# 15,000 changes a day.
BUSY_INTERVAL_SECONDS = 86400 / 15000


def submit(site, count, seconds):
    """Runs the submitting program; its figures by key."""
    done = subprocess.run(
        [str(BIN / "cardamomroute-measure-control"), str(count), str(seconds),
         *site.control_addresses()],
        stdout=subprocess.PIPE, text=True, check=True)
    return figures.parse(done.stdout)


def elapsed_ms(start):
    return (time.monotonic() - start) * 1000


def measure_commit():
    with control_trial.temporary_group() as site:
        submitted = submit(site, COMMITS, 60)
    print(f"commit_p50_ms={submitted['commit_p50_ms']}")
    print(f"commit_p99_ms={submitted['commit_p99_ms']}")


def measure_failover():
    """Longest time without an accepted text when the leader is killed."""
    with control_trial.temporary_group() as site:
        victim = control_trial.leader(site)
        killer = threading.Timer(2, site.processes[victim].kill)
        killer.start()
        submitted = submit(site, 10 ** 9, FAILOVER_SECONDS)
        killer.join()
    return float(submitted["longest_gap_ms"])


@contextlib.contextmanager
def lost_voter(standbys):
    """A group that has just lost a voter which does not lead, and its name."""
    with control_trial.temporary_group(standbys) as site:
        leader = control_trial.leader(site)
        submit(site, COMMITS, 30)
        victim = next(n for n in site.controls if n != leader)
        site.processes[victim].kill()
        yield site, victim


def measure_repair_standby():
    """From the end of the lost voter's lease until the standby votes."""
    with lost_voter(standbys=1) as (site, victim):
        start = time.monotonic()
        left = [name for name in site.controls if name != victim]
        control_trial.wait_for_voters(site, left + site.standbys)
        return elapsed_ms(start) - MEMBER_LEASE_MS


def measure_repair_cold():
    """From the end of the lost voter's lease, when it is started again
    without its data, until it votes as another member."""
    with lost_voter(standbys=0) as (site, victim):
        start = time.monotonic()
        time.sleep(MEMBER_LEASE_MS / 1000)
        old = control_trial.member_ids(site)
        shutil.rmtree(site.folder / f"{victim}-data")
        site.start_role("control", victim)
        poll(lambda: has_new_voter(site, old), 20, f"{victim} votes again")
        return elapsed_ms(start) - MEMBER_LEASE_MS


def has_new_voter(site, old):
    ids = set(control_trial.voters(site).values())
    return len(ids) == 3 and not ids <= old


def measure_restart():
    """All start again after many changes, until the state is shown."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, control_trial.TEXT_ONLY, log_level="WARN",
                    controls=1, balancers=0)
        with site:
            site.start_control()
            control_trial.leader(site)
            submitted = submit(site, PILE, 240)
            site.processes["c1"].kill()
            start = time.monotonic()
            site.start_control()
            while control_trial.ask(site, "show").get("code") != "ok":
                pass
            print(f"restart_10k_ms={elapsed_ms(start):.0f}")
            print(f"restart_changes={submitted['accepted']}")
            used = sum(entry.stat().st_size
                       for entry in (site.folder / "c1-data").iterdir())
            print(f"restart_folder_kb={used // 1024}")


def measure_in_force(name, description):
    with temporary_site(description, log_level="WARN") as site:
        longest = 0
        for turn in range(IN_FORCE_ROUNDS):
            text = site.changed_text(turn + 1)
            start = time.monotonic()
            status, output = site.apply(text)
            if status != 0:
                raise RuntimeError(output)
            longest = max(longest, elapsed_ms(start))
    print(f"in_force_ms_{name}={longest:.0f}")


def control_bytes(pids):
    """TCP payload that these processes have sent and received so far."""
    listing = subprocess.run(["ss", "-tinpOH"], stdout=subprocess.PIPE,
                             text=True, check=True).stdout
    total = 0
    for line in listing.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner and int(owner.group(1)) in pids:
            total += sum(int(count) for count in re.findall(
                r"bytes_(?:sent|received):(\d+)", line))
    return total


def run_idle_or_busy(site, busy):
    """Lets time pass, with changes of the text or without."""
    start = time.monotonic()
    turn = 0
    while time.monotonic() - start < TRAFFIC_SECONDS:
        time.sleep(BUSY_INTERVAL_SECONDS)
        if busy:
            turn += 1
            site.apply(site.changed_text(turn))
    return time.monotonic() - start


def measure_node_bytes():
    """Bytes a node and second towards control, idle and with changes."""
    with temporary_site(KRESBA, log_level="WARN") as site:
        nodes = site.balancers + sum(site.targets.values(), [])
        pids = {site.processes[name].process.pid for name in nodes}
        for key, busy in (("idle", False), ("busy", True)):
            before = control_bytes(pids)
            seconds = run_idle_or_busy(site, busy)
            spent = (control_bytes(pids) - before) / seconds / len(nodes)
            print(f"control_bytes_per_node_s_{key}={spent:.0f}")


def measure_loss():
    def kill_leader_repeatedly(site):
        for _ in range(4):
            victim = control_trial.leader(site)
            site.processes[victim].kill()
            time.sleep(0.5)
            site.start_role("control", victim)
            time.sleep(1)
    with tempfile.TemporaryDirectory() as folder:
        faults = control_trial.trial(folder, kill_leader_repeatedly, 0)
    print(f"lost_accepted={faults.get('lost accepted texts', 0)}")
    print(f"reverts={faults.get('reverts', 0)}")
    print(f"double_versions={faults.get('double versions', 0)}")


def repeat(runs, measure_once):
    return [measure_once() for _ in range(runs)]


def measure(runs=1):
    """Prints all figures; those of failover and repair are medians of `runs`
    runs, with the extremes beside them."""
    measure_commit()
    print(f"runs={runs}")
    for key, measure_once in (("failover_ms", measure_failover),
                              ("repair_standby_ms", measure_repair_standby),
                              ("repair_cold_ms", measure_repair_cold)):
        figures.print_spread(key, repeat(runs, measure_once))
    measure_in_force("kresba", KRESBA)
    measure_in_force("tsukushi", TSUKUSHI)
    measure_node_bytes()
    measure_loss()
    measure_restart()
    return 0
