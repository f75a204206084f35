"""Two of three control VMs lose their disks. The third founds a new group; the
two come back empty. Traffic goes on all the while."""

import json
import shutil
import subprocess
import time
import uuid

import case
import control_trial
from polling import poll
from small_site import BIN, KRESBA

SECONDS = 45
SURVIVOR = "c3"
LOST = ["c1", "c2"]


def recover(site, *options):
    done = subprocess.run(
        [BIN / "cardamomroute", "recover", "--json", "--settings",
         site.folder / f"{SURVIVOR}.json", *options],
        stdout=subprocess.PIPE, text=True, timeout=30, check=False)
    return json.loads(done.stdout)


def text_with(site, milliseconds):
    return site.write_json(f"text-{milliseconds}",
                           site.changed_text(milliseconds))


def submit(site, path, shown, submission):
    return control_trial.ask(
        site, "apply", path, "--no-wait", "--base",
        f"{shown['version']}:{shown['digest']}", "--submission", submission)


def expect(faults, what, found, wanted):
    if found != wanted:
        faults[f"{what}: {found} for {wanted}"] = 1


def check_answers(site, faults, former, accepted):
    """What operators of the former group are told by the new one."""
    present = control_trial.ask(site, "show")
    expect(faults, "digest", present["digest"], former["digest"])
    if present["version"] <= former["version"]:
        faults[f"version {present['version']}"] = 1
    again = submit(site, text_with(site, 1), *accepted)
    expect(faults, "known submission", again.get("code"), "accepted")
    stale = submit(site, text_with(site, 2), former, str(uuid.uuid4()))
    expect(faults, "former base", (stale["code"], stale["effect"]),
           ("outcome-lost", "unknown"))


def check_recovery(site, faults):
    first = control_trial.ask(site, "show")
    accepted = (first, str(uuid.uuid4()))
    expect(faults, "first text",
           submit(site, text_with(site, 1), *accepted).get("code"), "accepted")
    former = control_trial.ask(site, "show")
    time.sleep(1)
    for name in LOST:
        site.processes[name].kill()
        shutil.rmtree(site.folder / f"{name}-data")
    time.sleep(1)
    alone = submit(site, text_with(site, 3), former, str(uuid.uuid4()))
    if alone.get("effect") not in ("unknown", "try-later"):
        faults[f"answer of a minority: {alone}"] = 1
    expect(faults, "recover beside a process", recover(site)["code"],
           "folder-locked")
    site.processes[SURVIVOR].kill()
    plan = recover(site)
    expect(faults, "plan", (plan["code"], plan["digest"]),
           ("recoverable", former["digest"]))
    expect(faults, "another value", recover(site, "--confirm", "1:2")["code"],
           "usage")
    expect(faults, "recovery",
           recover(site, "--confirm", plan["confirm"])["code"], "recovered")
    site.start_role("control", SURVIVOR)
    control_trial.leader(site)
    check_answers(site, faults, former, accepted)
    for name in LOST:
        site.start_role("control", name)
    control_trial.wait_for_voters(site, site.controls)
    # The lost VMs may have been told of nodes that the survivor was not.
    poll(lambda: len(site.status().get("targets", [])) ==
         sum(map(len, site.targets.values())), 20, "all targets")
    status, output = site.apply(site.changed_text(4))
    if status != 0:
        faults[f"apply: {output}"] = status


def body(folder):
    faults = {}
    with case.serving_site(folder, KRESBA) as site:
        callers = [
            site.start_callers("trade-desk", "observation", sessions=30,
                               rate=20, seconds=SECONDS),
            site.start_callers("trade-desk", "non_idempotent_call",
                               sessions=30, rate=60, seconds=SECONDS)]
        time.sleep(3)
        start = time.monotonic()
        check_recovery(site, faults)
        print(f"recovered and repaired within {time.monotonic() - start:.1f} s")
        totals = site.totals(callers)
    print(totals.counts)
    faults.update(totals.broken_promises())
    return faults


case.run(body)
