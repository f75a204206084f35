"""An upstream that is told deadlines begins new work once they are over."""

import copy

import case
from small_site import KRESBA, Site

SECONDS = 10
TIMEOUT_MS = 1000
DEADLINE_OPTION = 65020
# Ends no request within its deadline.
HUNG = "trade-desk-1"
HUNG_RUN_MS = 60000


class DeadlineSite(Site):
    """A site whose agents tell deadlines to their upstreams."""

    def agent_options(self, service):
        return {"deadline_option": DEADLINE_OPTION}

    def upstream_options(self, service, name):
        options = ["--deadline-option", DEADLINE_OPTION]
        return options + (["--run-ms", HUNG_RUN_MS] if name == HUNG else [])


def description():
    changed = copy.deepcopy(KRESBA)
    for call in changed["services"]["trade-desk"]["calls"]:
        call["timeout_ms"] = TIMEOUT_MS
    return changed


def body(folder):
    with DeadlineSite(folder, description()) as site:
        site.start_serving()
        callers = [site.start_callers("trade-desk", "idempotent_call",
                                      sessions=200, rate=100, seconds=SECONDS)]
        totals = site.totals(callers)
        begun = site.runs_by_target("trade-desk")[HUNG]
    print(totals.counts, f"begun by {HUNG}: {begun}")
    faults = dict(totals.broken_promises(allowed=("unknown",)))
    # Its slots hold what it began first for longer than the case takes.
    if begun <= KRESBA["services"]["trade-desk"]["slots"]:
        faults[f"begun by {HUNG}"] = begun
    return faults


case.run(body)
