"""Reports that lie, lag or make no sense cost no answer and no target."""

import time

import case
from small_site import KRESBA, Site

SECONDS = 10
REPORT_PATH = "/load"
# What the upstreams of the trade desk report in place of the truth.
LIES = {
    "trade-desk-1": '{"slots": 2, "busy": 0, "healthy": false}',
    "trade-desk-2": '{"slots": 2, "busy": 2, "healthy": true}',
    "trade-desk-3": '{"slots": 65535, "busy": 0, "healthy": true}',
    "trade-desk-4": '{"slots": 0, "busy": 7}',
}
LAGGING = "trade-desk-5"
LAG_MS = 4000
# This one says that it is idle, and takes five times as long as the others.
OVERLOADED = "trade-desk-3"
SLOW_MS = 100
# Until reports are read and cold starts are over.
SETTLE_SECONDS = 11


class ReportingSite(Site):
    """A site whose agents of the trade desk read reports."""

    def agent_options(self, service):
        return {"report_path": REPORT_PATH} if service == "trade-desk" else {}

    def upstream_options(self, service, name):
        if service != "trade-desk":
            return []
        options = ["--report-path", REPORT_PATH]
        if name in LIES:
            options += ["--report-lie", LIES[name]]
        if name == LAGGING:
            options += ["--report-lag-ms", LAG_MS]
        if name == OVERLOADED:
            options += ["--run-ms", SLOW_MS]
        return options


def readings(site, name):
    """What the agent made of its upstream's reports."""
    log = (site.folder / f"{name}.log").read_text()
    return {line.split("reading=")[1].split()[0]
            for line in log.splitlines() if "event=upstream-report" in line}


def serving_targets(status):
    """Names of the trade desk's targets that `status` shows as serving."""
    rows = [line.split() for line in status.splitlines()]
    return {row[1] for row in rows
            if len(row) == 7 and row[2] == "trade-desk" and row[5] == "serving"}


def body(folder):
    faults = {}
    with case.serving_site(folder, KRESBA, kind=ReportingSite) as site:
        time.sleep(SETTLE_SECONDS)
        before = site.runs_by_target("trade-desk")
        callers = [
            site.start_callers("trade-desk", "observation", sessions=30, rate=60,
                               seconds=SECONDS),
            site.start_callers("trade-desk", "non_idempotent_call",
                               sessions=200, rate=100, seconds=SECONDS)]
        totals = site.totals(callers)
        after = site.runs_by_target("trade-desk")
        _, status = site.command("status")
        read = {name: readings(site, name)
                for name in site.targets["trade-desk"]}
        ended = [name for name in site.targets["trade-desk"]
                 if not site.processes[name].running()]
    runs = {name: after[name] - before[name] for name in after}
    print(totals.counts, runs, read)
    print(status)
    faults.update(totals.broken_promises())
    if totals.counts["not_run"] > 0:
        faults["not_run"] = totals.counts["not_run"]
    for name, count in runs.items():
        if count == 0:
            faults[f"runs of {name}"] = count
    if ended:
        faults["agents that ended"] = ended
    if serving_targets(status) != set(runs):
        faults["targets that serve"] = serving_targets(status)
    for name, readings_of in read.items():
        expected = "absurd" if name == "trade-desk-4" else "taken"
        if expected not in readings_of:
            faults[f"reports of {name}"] = readings_of
    return faults


case.run(body)
