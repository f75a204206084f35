"""An agent is frozen for longer than its lease and comes back."""

import signal
import time

import case
from small_site import KRESBA

SECONDS = 18
FROZEN_SECONDS = 8


def body(folder):
    with case.serving_site(folder, KRESBA) as site:
        callers = [site.start_callers(
            "trade-desk", "non_idempotent_call", sessions=70, rate=100,
            seconds=SECONDS)]
        time.sleep(2)
        agent = site.processes["trade-desk-2"]
        agent.send(signal.SIGSTOP)
        time.sleep(FROZEN_SECONDS)
        agent.send(signal.SIGCONT)
        totals = site.totals(callers)
        print("during", totals.counts)
        faults = totals.broken_promises(allowed=("lost", "unknown", "refused"))
        after = site.totals([site.start_callers(
            "trade-desk", "non_idempotent_call", sessions=70, rate=100,
            seconds=4)])
        print("after", after.counts)
        for key, count in after.broken_promises().items():
            faults[f"after the freeze: {key}"] = count
        if not agent.running():
            faults["the frozen agent has ended"] = 1
    return faults


case.run(body)
