"""Each kind of call of both users is answered by its own service."""

import case
from small_site import KRESBA, TSUKUSHI

SECONDS = 4


def body(folder):
    faults = {}
    for user, description, calls in (
            ("kresba", KRESBA, [("trade-desk", "non_idempotent_call"),
                                ("trade-desk", "observation"),
                                ("scan-intake", "upload")]),
            ("tsukushi", TSUKUSHI, [("index-feed", "non_idempotent_call"),
                                    ("index-feed", "observation"),
                                    ("release", "download")])):
        with case.serving_site(f"{folder}/{user}", description) as site:
            callers = [site.start_callers(service, call, sessions=10, rate=20,
                                          seconds=SECONDS)
                       for service, call in calls]
            totals = site.totals(callers)
        print(user, totals.counts)
        for key, count in totals.broken_promises().items():
            faults[f"{user} {key}"] = count
        if totals.counts["notifications"] == 0:
            faults[f"{user} no_notifications"] = 1
    return faults


case.run(body)
