"""Operators that submit texts without pause to a site's control VMs, and what
each was told. Nothing here knows how the group works."""

import contextlib
import json
import tempfile
import threading
import time
import uuid

from polling import poll
from small_site import Site

# Control only: no nodes, so nothing else loads the machine.
TEXT_ONLY = {"zones": ["praha-a", "praha-b", "brno-a", "ostrava-a"],
             "services": {}}


def text_of(number):
    """A text that differs from number to number and moves no address."""
    return {"services": [
        {"name": f"service-{bit}", "address": f"192.0.2.{bit + 1}:5683",
         "protocol": "datagram"}
        for bit in range(16) if number >> bit & 1]}


def group(folder, standbys=1, kind=Site):
    site = kind(folder, TEXT_ONLY, log_level="INFO", controls=3,
                standbys=standbys, balancers=0)
    site.start_control()
    return site


@contextlib.contextmanager
def temporary_group(standbys=0):
    """A control group with a leader, in a folder that goes with it."""
    with tempfile.TemporaryDirectory() as folder:
        with group(folder, standbys) as site:
            leader(site)
            yield site


def ask(site, *arguments, **options):
    """The answer to an operators' command as an object; {} where none."""
    _, output = site.command(*arguments, "--json", **options)
    lines = [line for line in output.splitlines() if line.startswith("{")]
    return json.loads(lines[-1]) if lines else {}


def ask_at(site, name, *arguments, **options):
    """The answer of one control VM; {} where none."""
    return ask(site, *arguments, control=[name], **options)


def members(site):
    return ask(site, "members")


def leader(site, seconds=15):
    """Name of the leader, once there is one."""
    return poll(lambda: members(site).get("leader"), seconds, "a leader")


def voters(site):
    """Ids of the voters by the names of their VMs."""
    return {row["name"]: row["id"] for row in members(site).get("members", [])
            if row["role"] == "voter"}


def member_ids(site):
    return {row["id"] for row in members(site)["members"]}


def wait_for_voters(site, names, seconds=20):
    """Waits until exactly these VMs vote."""
    poll(lambda: set(voters(site)) == set(names), seconds,
         f"{sorted(names)} vote")


class Operator(threading.Thread):
    """Submits one text after the other, each on what it takes to be in force,
    and repeats what was left open."""

    def __init__(self, site, name):
        super().__init__(daemon=True)
        self.site = site
        self.name_tag = name
        self.stopping = threading.Event()
        self.accepted = []  # (arguments, version, digest)
        self.codes = {}
        self.reverts = 0
        self.newest = 0
        self.accepted_at = []

    def stop(self):
        self.stopping.set()
        self.join(60)

    def run(self):
        number = 0
        while not self.stopping.is_set():
            shown = ask(self.site, "show")
            if shown.get("code") != "ok":
                continue
            self.see(shown["version"])
            number += 1
            self.submit(number, shown)

    def see(self, version):
        if version < self.newest:
            self.reverts += 1
        self.newest = max(self.newest, version)

    def submit(self, number, shown):
        path = self.site.write_json(f"text-{self.name_tag}-{number}",
                                    text_of(number % 65535 + 1))
        arguments = ["apply", path, "--no-wait",
                     "--base", f"{shown['version']}:{shown['digest']}",
                     "--submission", str(uuid.uuid4())]
        answer = {}
        while not self.stopping.is_set():
            answer = ask(self.site, *arguments)
            code = answer.get("code", "none")
            self.codes[code] = self.codes.get(code, 0) + 1
            if code in ("accepted", "version-conflict"):
                break
        if answer.get("code") == "accepted":
            self.see(answer["version"])
            self.accepted_at.append(time.monotonic())
            self.accepted.append((arguments, answer["version"],
                                  answer["digest"]))


def count_lost(site, given, sample):
    """Accepted texts whose repeated submission gets another answer."""
    step = max(1, len(given) // sample)
    lost = 0
    for arguments, version, digest in given[::step] + given[-5:]:
        again = ask(site, *arguments)
        lost += (again.get("code"), again.get("version"),
                 again.get("digest")) != ("accepted", version, digest)
    return lost


def check(site, operators, sample=40):
    """Faults found once all is well again: accepted texts that are gone,
    versions that went back, versions given twice."""
    given = [entry for operator in operators for entry in operator.accepted]
    versions = [version for _, version, _ in given]
    newest = max(versions, default=0)
    went_back = ask(site, "show").get("version", 0) < newest
    faults = {
        "double versions": len(versions) - len(set(versions)),
        "reverts": sum(operator.reverts for operator in operators) + went_back,
        "lost accepted texts": count_lost(site, given, sample),
    }
    faults = {key: count for key, count in faults.items() if count}
    if not given:
        faults["texts accepted at all"] = 0
    print(f"accepted {len(given)}, newest version {newest}, "
          f"codes {[operator.codes for operator in operators]}")
    return faults


def trial(folder, disturb, standbys=1, count=2, kind=Site):
    """Runs `disturb(site)` while operators submit; returns the faults."""
    with group(folder, standbys, kind) as site:
        site.apply(text_of(1), "--no-wait")
        operators = [Operator(site, f"o{i}") for i in range(count)]
        for operator in operators:
            operator.start()
        time.sleep(1)
        disturb(site)
        leader(site)
        time.sleep(1)
        for operator in operators:
            operator.stop()
        return check(site, operators)
