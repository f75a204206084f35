"""What every whole-program case shares."""

import json
import pathlib
import sys
import tempfile
import traceback

from polling import poll
from small_site import Site

# Exit status of commands that did nothing.
TRY_LATER = 4

# Longer than all that a caller's datagrams are repeated for.
PATIENCE_SECONDS = 40

# Lines of each process's log that a failed case prints: the last ones, and
# before them those about requests that were not served.
LOG_TAIL_LINES = 40
LOG_FAILURE_LINES = 40
# What a failed case prints of requests without an answer.
UNANSWERED_LINES = 40
TRACED_REQUESTS = 4
FLOW_LINES = 60
FAILURE_MARKS = (
    "decision=unknown", "decision=refused", "decision=not-run",
    "reason=lease-expired", "reason=no-target", "reason=is-draining",
    "reason=foreign-service", "reason=too-many-hops", "reason=buffer-full",
    "reason=not-member", "event=route ")


def serving_site(folder, description, kind=Site, **options):
    """A site that is up and whose every service answers."""
    site = kind(folder, description, **options)
    try:
        site.start_serving()
    except BaseException:
        site.kill_all()
        raise
    return site


def both_services(site, seconds):
    """Callers of both services of Kresba."""
    return [
        site.start_callers("trade-desk", "non_idempotent_call", sessions=40,
                           rate=80, seconds=seconds, patience=PATIENCE_SECONDS),
        site.start_callers("scan-intake", "upload", sessions=10, rate=10,
                           seconds=seconds, patience=PATIENCE_SECONDS)]


def tried_later(answer):
    """The answer to a command, or None where nothing was done."""
    return None if answer[0] == TRY_LATER else answer


def check_text(site, milliseconds, lost, without=None):
    """Submits another text while these processes are lost; faults where it is
    not in force on every node that is left."""
    text = site.changed_text(milliseconds, without)
    status, output = poll(lambda: tried_later(site.apply(text)), 30, "a leader")
    if status != 0:
        return {f"apply: {output}": status}
    _, shown = site.command("show", "--json")
    version = json.loads(shown.splitlines()[-1])["version"]
    behind = [name for name in site.nodes() if name not in lost
              and site.node_status(name)["view_version"] < version]
    return {f"behind {behind}": len(behind)} if behind else {}


def check_in_force(site, nodes, seconds):
    """Faults where not exactly so many nodes have the view within that time."""
    seen = site.wait_in_force(nodes, seconds)
    if (seen.get("nodes"), seen.get("nodes_with_view")) == (nodes, nodes):
        return {}
    return {f"of {nodes} nodes: {seen}": 1}


def check_outside(site, totals, lost):
    """Faults that the loss of these processes does not account for: those that
    are never allowed, and requests without an answer that others had run."""
    faults = totals.broken_promises(allowed=("lost", "unknown", "refused"))
    others = {request for names in site.targets.values() for name in names
              if name not in lost for request in site.runs_of(name)}
    missed = [request for outcome in ("lost", "unknown")
              for request in totals.ids.get(outcome, []) if request in others]
    if missed:
        faults[f"run elsewhere without an answer: {missed}"] = len(missed)
    return faults


def unanswered_requests(folder, faults):
    """What callers know of requests that had no answer, those that a fault
    names first."""
    requests = [request for path in pathlib.Path(folder).glob("callers-*.json")
                for request in json.loads(path.read_text()).get("unanswered", [])]
    return sorted(requests, key=lambda request: (
        not any(f"'{request['id']}'" in fault for fault in faults),
        request["sent"]))


def flow_lines(folder, request):
    """Log lines about a request's flow from when it was sent to its end."""
    after, until = f"time={request['sent']}", f"time={request['ended']}"
    for path in pathlib.Path(folder).rglob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            time_of_line = line.split(" ", 1)[0]
            if (after <= time_of_line <= until
                    and f"flow={request['flow']} " in line):
                yield f"{line} [{path.stem}]"


def print_flows(folder, faults):
    """Requests that had no answer, and the log lines about some of them."""
    requests = unanswered_requests(folder, faults)
    print(f"--- unanswered, {len(requests)} in all")
    print("\n".join(map(json.dumps, requests[:UNANSWERED_LINES])))
    for request in requests[:TRACED_REQUESTS]:
        print(f"--- flow {request['flow']} of {request['id']}")
        print("\n".join(sorted(flow_lines(folder, request))[-FLOW_LINES:]))


def print_logs(folder):
    """The last lines of what every process of the site wrote, and what it wrote
    about requests that were not served."""
    for path in sorted(pathlib.Path(folder).rglob("*")):
        if path.suffix not in (".log", ".out") or not path.stat().st_size:
            continue
        lines = path.read_text(errors="replace").splitlines()
        left_out = max(0, len(lines) - LOG_TAIL_LINES)
        failures = [line for line in lines[:left_out]
                    if any(mark in line for mark in FAILURE_MARKS)]
        print(f"--- {path.name}, {left_out} earlier lines left out, but for "
              f"the last {LOG_FAILURE_LINES} of {len(failures)} failures")
        print("\n".join(failures[-LOG_FAILURE_LINES:] + lines[left_out:]))


def run(body):
    """Runs `body(folder)`, which returns the faults it found, and exits."""
    with tempfile.TemporaryDirectory(prefix="cardamomroute-case-") as folder:
        try:
            faults = body(folder)
        except Exception as failure:  # pylint: disable=broad-except
            traceback.print_exc(file=sys.stdout)
            faults = {f"the case ended early: {failure}": 1}
        for key, count in faults.items():
            print(f"NOT KEPT: {key}: {count}")
        if faults:
            print_flows(folder, faults)
            print_logs(folder)
    sys.exit(1 if faults else 0)
