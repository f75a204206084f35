"""Two targets leave as planned during a burst of three times capacity."""

import time

import case
from small_site import KRESBA

SECONDS = 10
# 7 targets of 2 slots at 20 ms run 700 calls a second.
BURST_RATE = 2100


def body(folder):
    with case.serving_site(folder, KRESBA, log_level="WARN") as site:
        callers = [
            site.start_callers(
                "trade-desk", "observation", sessions=30, rate=60,
                seconds=SECONDS),
            site.start_callers(
                "trade-desk", "non_idempotent_call", sessions=400,
                rate=BURST_RATE, seconds=SECONDS)]
        time.sleep(3)
        statuses = [site.processes[name].stop()
                    for name in ("trade-desk-6", "trade-desk-7")]
        totals = site.totals(callers)
    print(totals.counts)
    faults = totals.broken_promises()
    if any(statuses):
        faults["exit statuses of the stopped agents"] = statuses
    return faults


case.run(body)
