"""A target is lost with its agent: only its own flows feel it, callers are
told the truth, and afterwards everything is answered again."""

import time

import case
from small_site import TSUKUSHI

SECONDS = 8


def body(folder):
    with case.serving_site(folder, TSUKUSHI) as site:
        callers = [site.start_callers(
            "index-feed", "non_idempotent_call", sessions=70, rate=140,
            seconds=SECONDS)]
        time.sleep(3)
        site.processes["index-feed-3"].kill()
        site.processes["index-feed-3-upstream"].kill()
        totals = site.totals(callers)
        print("during", totals.counts)
        faults = totals.broken_promises(allowed=("lost", "unknown", "refused"))
        # A share of 1/7 of the flows is hit, each session waits it out.
        hit = sum(totals.counts[key] for key in ("lost", "unknown"))
        if hit > 30:
            faults["requests hit beside those of the lost target"] = hit
        after = site.totals([site.start_callers(
            "index-feed", "non_idempotent_call", sessions=70, rate=140,
            seconds=3)])
        print("after", after.counts)
        for key, count in after.broken_promises().items():
            faults[f"after the loss: {key}"] = count
    return faults


case.run(body)
