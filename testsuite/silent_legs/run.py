"""What lies between agents and upstreams loses track of every connection:
old ones go silent, new ones work."""

import signal
import time

import case
from small_site import KRESBA

SECONDS = 30


def body(folder):
    with case.serving_site(folder, KRESBA) as site:
        callers = [
            site.start_callers(
                "trade-desk", "observation", sessions=20, rate=40,
                seconds=SECONDS),
            site.start_callers(
                "trade-desk", "non_idempotent_call", sessions=40, rate=60,
                seconds=SECONDS)]
        time.sleep(4)
        for name in site.targets["trade-desk"]:
            site.processes[f"{name}-upstream"].send(signal.SIGUSR1)
        totals = site.totals(callers, 90)
    print(totals.counts)
    # Calls that were under way may end without a known outcome.
    return totals.broken_promises(allowed=("unknown",))


case.run(body)
