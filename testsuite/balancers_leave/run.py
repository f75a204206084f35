"""One of three balancers is stopped as planned, then another is killed."""

import time

import case
from small_site import TSUKUSHI

SECONDS = 14


def body(folder):
    with case.serving_site(folder, TSUKUSHI, balancers=3) as site:
        callers = [
            site.start_callers(
                "index-feed", "non_idempotent_call", sessions=30, rate=80,
                seconds=SECONDS),
            site.start_callers(
                "index-feed", "observation", sessions=30, rate=60,
                seconds=SECONDS),
            site.start_callers("release", "download", sessions=5, rate=5,
                               seconds=SECONDS)]
        time.sleep(2)
        status = site.stop_balancer("b2")
        time.sleep(1)
        site.processes["b3"].kill()
        totals = site.totals(callers)
    print(totals.counts)
    faults = totals.broken_promises()
    if status != 0:
        faults["exit status of the stopped balancer"] = status
    return faults


case.run(body)
