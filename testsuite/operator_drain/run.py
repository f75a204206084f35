"""Operators drain a target by command, wait until it is gone, stop its VM."""

import time

import case
from small_site import KRESBA

SECONDS = 18
LONGEST_DRAIN_SECONDS = 60


def body(folder):
    faults = {}
    with case.serving_site(folder, KRESBA) as site:
        callers = [
            site.start_callers(
                "trade-desk", "non_idempotent_call", sessions=30, rate=60,
                seconds=SECONDS),
            site.start_callers(
                "trade-desk", "observation", sessions=20, rate=40,
                seconds=SECONDS)]
        time.sleep(2)
        drained = "trade-desk-4"
        number = site.listed_target(drained)["id"]
        status, output = site.command("drain", number)
        if status != 0:
            faults[f"drain: {output}"] = status
        deadline = time.monotonic() + LONGEST_DRAIN_SECONDS
        while site.listed_target(drained) and time.monotonic() < deadline:
            time.sleep(0.5)
        if site.listed_target(drained):
            faults["the drained target is still listed"] = 1
        status = site.processes[drained].stop()
        if status != 0:
            faults["exit status of the stopped agent"] = status
        site.processes[f"{drained}-upstream"].stop()
        totals = site.totals(callers)
    print(totals.counts)
    faults.update(totals.broken_promises())
    return faults


case.run(body)
