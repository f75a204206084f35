"""A target leaves while its flows have states of more than 64 KB."""

import time

import case
from small_site import KRESBA

SECONDS = 24
# Each session makes about 40 calls a second; each leaves some 170 bytes of
# stored answer, and all of them are due to be kept for minutes.
SESSIONS = 14
STATE_BYTES = 65507
LEAST_STORED_BYTES = 150


def body(folder):
    with case.serving_site(folder, KRESBA, log_level="WARN") as site:
        callers = [site.start_callers(
            "trade-desk", "non_idempotent_call", sessions=SESSIONS,
            rate=40 * SESSIONS, seconds=SECONDS)]
        time.sleep(SECONDS - 6)
        before = site.runs_by_target("trade-desk")
        # The one with the most work has flows, whatever the placement.
        leaving = max(before, key=before.get)
        status = site.processes[leaving].stop()
        totals = site.totals(callers)
    print(totals.counts, "runs of", leaving, before[leaving])
    faults = totals.broken_promises()
    if status:
        faults["exit status of the stopped agent"] = status
    if sum(before.values()) / SESSIONS * LEAST_STORED_BYTES < STATE_BYTES:
        faults["states too small for this case"] = before
    return faults


case.run(body)
