"""Runs a small site of cardamomroute processes with stand-ins on loopback.

Each process has an IP address of its own under 127.0.0.0/8, so ports never
clash between sites that run at the same time.
"""

import collections
import contextlib
import copy
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

from caller_totals import Totals, load_report
from polling import poll
from started_process import Process

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("CARDAMOMROUTE_BIN", ROOT / "build" / "bin"))

CONTROL_PORT = 7000
INNER_PORT = 7001
EDGE_PORT = 7002
RETURN_PORT = 7003
UPSTREAM_PORT = 5683
SERVICE_PORT = 5683

# The request method of each kind of call that the stand-in callers make.
CALL_METHODS = {"non_idempotent_call": "POST", "observation": "GET",
                "idempotent_call": "GET", "upload": "PUT", "download": "GET"}
IDEMPOTENT_CALLS = [name for name in CALL_METHODS
                    if name != "non_idempotent_call"]


def load_site(name):
    """The description of a site under tools/sites/."""
    path = ROOT / "tools" / "sites" / f"{name}.json"
    return json.loads(path.read_text())


KRESBA = load_site("kresba")
TSUKUSHI = load_site("tsukushi")


class Site:
    """A site of one user: control, balancers, agents, upstreams, fabric."""

    def __init__(self, folder, description, controls=3, standbys=0,
                 balancers=2, log_level="INFO"):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.description = description
        self.log_level = log_level
        self.prefix = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        self.controls = [f"c{i + 1}" for i in range(controls)]
        self.standbys = [f"s{i + 1}" for i in range(standbys)]
        self.balancers = [f"b{i + 1}" for i in range(balancers)]
        self.addresses = {}
        self.processes = {}
        self.targets = {}
        self.report_count = 0
        for service, entry in description["services"].items():
            self.targets[service] = [
                f"{service}-{i + 1}" for i in range(entry["targets"])]
        self.write_settings()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.kill_all()

    def ip(self, name):
        if name not in self.addresses:
            self.addresses[name] = f"{self.prefix}.{len(self.addresses) + 1}"
        return self.addresses[name]

    def service_address(self, service):
        return f"{self.ip('service ' + service)}:{SERVICE_PORT}"

    def zone(self, index):
        zones = self.description["zones"]
        return zones[index % len(zones)]

    def nodes(self):
        return self.balancers + sum(self.targets.values(), [])

    def processes_of(self, zone):
        """Names of an availability zone's processes: those of the product, and
        the upstreams."""
        names = [name for name in self.controls + self.standbys + self.nodes()
                 if self.settings(name)["zone"] == zone]
        return names, [f"{name}-upstream" for name in names
                       if f"{name}-upstream" in self.processes]

    def settings(self, name):
        return json.loads((self.folder / f"{name}.json").read_text())

    def write_json(self, name, content):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content, indent=1) + "\n")
        return path

    def control_addresses(self, names=None):
        return [f"{self.ip(name)}:{CONTROL_PORT}"
                for name in names or self.controls + self.standbys]

    def announced_address(self, name):
        """Where other processes reach a control VM."""
        return f"{self.ip(name)}:{CONTROL_PORT}"

    def announced_addresses(self):
        return [self.announced_address(name)
                for name in self.controls + self.standbys]

    def log_entry(self, name):
        return {"level": self.log_level,
                "file": str(self.folder / f"{name}.log")}

    def write_settings(self):
        peers = [{"name": name, "address": self.announced_address(name)}
                 for name in self.controls]
        for index, name in enumerate(self.controls + self.standbys):
            self.write_json(name, {
                "name": name, "zone": self.zone(index),
                "log": self.log_entry(name),
                "control": {
                    "listen": f"{self.ip(name)}:{CONTROL_PORT}",
                    "data_folder": str(self.folder / f"{name}-data"),
                    "peers": peers, "standby": name in self.standbys}})
        for index, name in enumerate(self.balancers):
            self.write_json(name, {
                "name": name, "zone": self.zone(index),
                "log": self.log_entry(name),
                "balancer": {
                    "control": self.announced_addresses(),
                    "inner": f"{self.ip(name)}:{INNER_PORT}",
                    "edge": "proxied",
                    "edge_listen": f"{self.ip(name)}:{EDGE_PORT}",
                    "edge_return": f"{self.ip('fabric')}:{RETURN_PORT}"}})
        for service, names in self.targets.items():
            for index, name in enumerate(names):
                self.write_agent(service, name, self.zone(index))

    def write_agent(self, service, name, zone):
        entry = self.description["services"][service]
        agent = {
            "control": self.announced_addresses(),
            "inner": f"{self.ip(name)}:{INNER_PORT}",
            "service": service,
            "upstream": f"{self.ip(name)}:{UPSTREAM_PORT}",
            "slots": entry["slots"]}
        agent.update(self.agent_options(service))
        self.write_json(name, {
            "name": name, "zone": zone, "log": self.log_entry(name),
            "agent": agent})

    def agent_options(self, service):
        """Settings of the service's agents beyond those that all have."""
        return {}

    def changed_text(self, milliseconds, without=None):
        """The site's text with longer timeouts, and without a call."""
        text = copy.deepcopy(self.text())
        for entry in text["services"]:
            entry["calls"][0]["timeout_ms"] += milliseconds
            entry["calls"] = [call for call in entry["calls"]
                              if call["name"] != without]
        return text

    def text(self):
        services = []
        for name, entry in self.description["services"].items():
            services.append({
                "name": name, "address": self.service_address(name),
                "protocol": "coap", "calls": entry["calls"],
                "depends_on": entry["depends_on"]})
        return {"services": services}

    def start(self, name, arguments):
        process = Process(name, arguments, self.folder / f"{name}.out")
        self.processes[name] = process
        return process.start()

    def start_role(self, role, name):
        return self.start(name, [BIN / "cardamomroute", role, "--settings",
                                 self.folder / f"{name}.json"])

    def start_upstream(self, service, name):
        entry = self.description["services"][service]
        arguments = [
            BIN / "cardamomroute-upstream",
            "--listen", f"{self.ip(name)}:{UPSTREAM_PORT}",
            "--service", service, "--name", name,
            "--runs", self.folder / f"{name}.runs",
            "--slots", entry["slots"], "--run-ms", entry["run_ms"]]
        if "download_path" in entry:
            arguments += ["--download-path", entry["download_path"]]
        return self.start(f"{name}-upstream",
                          arguments + self.upstream_options(service, name))

    def upstream_options(self, service, name):
        """Arguments of an upstream beyond those that all have; of an option
        that is named twice the last one counts."""
        return []

    def start_control(self):
        for name in self.controls + self.standbys:
            self.start_role("control", name)

    def start_traffic(self):
        self.start_balancers()
        self.start_targets()
        self.start_fabric()

    def start_balancers(self):
        for name in self.balancers:
            self.start_role("balancer", name)

    def start_targets(self):
        for service, names in self.targets.items():
            for name in names:
                self.start_upstream(service, name)
                self.start_role("agent", name)

    def start_fabric(self):
        arguments = [BIN / "cardamomroute-fabric", "--return",
                     f"{self.ip('fabric')}:{RETURN_PORT}",
                     "--withdrawn", self.folder / "withdrawn"]
        for name in self.balancers:
            arguments += ["--balancer", f"{self.ip(name)}:{EDGE_PORT}"]
        for service in self.targets:
            arguments += ["--service", self.service_address(service)]
        self.start("fabric", arguments)

    def withdraw(self, names):
        """Takes exactly these balancers out of the fabric's rotation."""
        path = self.folder / "withdrawn.new"
        path.write_text("".join(f"{self.ip(name)}:{EDGE_PORT}\n"
                                for name in names))
        path.rename(self.folder / "withdrawn")

    def stop_balancer(self, name):
        """Planned stop: out of the rotation, then a stop signal."""
        self.withdraw([name])
        return self.processes[name].stop()

    def command(self, *arguments, timeout=60, control=None):
        """Runs an operators' command at all control VMs or at those named;
        returns (exit status, output)."""
        done = subprocess.run(
            [str(BIN / "cardamomroute"), *map(str, arguments),
             "--control", ",".join(self.control_addresses(control))],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=timeout, check=False)
        return done.returncode, done.stdout

    def status(self):
        """What `status --json` prints; empty where it fails."""
        code, output = self.command("status", "--json")
        return json.loads(output) if code == 0 else {}

    def node_status(self, name):
        """What a balancer or agent says of itself."""
        done = subprocess.run(
            [str(BIN / "cardamomroute"), "status", "--json", "--node",
             f"{self.ip(name)}:{INNER_PORT}"], stdout=subprocess.PIPE,
            text=True, timeout=60, check=True)
        return json.loads(done.stdout)

    def counters(self, name):
        """What a balancer or agent has counted, by name of the metric."""
        return self.node_status(name)["metrics"]["counters"]

    def listed_target(self, name):
        """The row of a target in status, or None."""
        rows = self.status()["targets"]
        return next((row for row in rows if row["name"] == name), None)

    def wait_in_force(self, nodes, seconds):
        """The status once so many nodes, and no others, have the view; the
        last one where they do not within that time."""
        deadline = time.monotonic() + seconds
        while True:
            seen = self.status()
            known = len(seen.get("targets", [])) + seen.get("balancers", 0)
            if (known, seen.get("nodes"), seen.get("nodes_with_view")) == (
                    nodes, nodes, nodes) or time.monotonic() > deadline:
                return seen
            time.sleep(0.3)

    def apply(self, text=None, *arguments, timeout=60):
        path = self.write_json("text", text or self.text())
        return self.command("apply", path, *arguments, timeout=timeout)

    def apply_when_ready(self, seconds=20):
        """Submits the site's text until it is accepted and in force."""
        def accepted():
            status, output = self.apply()
            answers.append(output)
            return status == 0
        answers = []
        try:
            poll(accepted, seconds, "the text is in force", pause=0.3)
        except RuntimeError as late:
            raise RuntimeError(f"{late}: {answers[-1]}") from late
        return answers[-1]

    def wait_until_serving(self, seconds=20):
        """Waits until every service answers a caller."""
        deadline = time.monotonic() + seconds
        for service in self.targets:
            poll(lambda: self.probe(service), deadline - time.monotonic(),
                 f"{service} answers")

    def probe(self, service):
        """Whether the service answers one caller now."""
        call = self.description["services"][service]["probe"]
        process, path = self.start_callers(service, call, sessions=1, rate=2,
                                           seconds=0.5, patience=2)
        process.wait(10)
        return load_report(path)["answered"] > 0

    def start_serving(self):
        """Starts all of the site and waits until every service answers."""
        self.start_control()
        self.apply_when_ready()
        self.start_traffic()
        self.wait_until_serving()

    def call_path(self, service, call):
        """Path of the service's call with the method of this kind of call."""
        calls = self.description["services"][service]["calls"]
        return next(entry["path"] for entry in calls
                    if entry["method"] == CALL_METHODS[call])

    def start_callers(self, service, call, **options):
        """Starts callers; returns (process, path of their report)."""
        self.report_count += 1
        name = f"callers-{self.report_count}-{call}"
        report = self.folder / f"{name}.json"
        arguments = [BIN / "cardamomroute-callers",
                     "--address",
                     options.pop("address", self.service_address(service)),
                     "--service", service, "--call", call,
                     "--path", self.call_path(service, call),
                     "--report", report, "--seed", self.report_count]
        for key, value in options.items():
            arguments += [f"--{key}", value]
        return self.start(name, arguments), report

    def runs_of(self, target):
        """Ids of the requests that a target's upstream ran."""
        path = self.folder / f"{target}.runs"
        return path.read_text().split() if path.exists() else []

    def runs(self):
        """How often each request ran, over all upstreams."""
        return collections.Counter(
            request for names in self.targets.values() for name in names
            for request in self.runs_of(name))

    def totals(self, callers, seconds=60):
        """Waits for callers to end; what they and the upstreams say."""
        for process, _ in callers:
            process.wait(seconds)
        reports = [load_report(path) for _, path in callers]
        return Totals(reports, self.runs(), IDEMPOTENT_CALLS)

    def runs_by_target(self, service):
        return {name: len(self.runs_of(name))
                for name in self.targets[service]}

    def kill_all(self):
        for process in self.processes.values():
            if process.running():
                process.send(signal.SIGCONT)
                process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(10)


@contextlib.contextmanager
def temporary_site(description, **options):
    """A site whose every service answers, in a folder that goes with it."""
    with tempfile.TemporaryDirectory(prefix="cardamomroute-") as folder:
        with Site(folder, description, **options) as site:
            site.start_serving()
            yield site
