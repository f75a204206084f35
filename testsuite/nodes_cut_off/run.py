"""A balancer and an agent are cut off from all control VMs and go on: past
their lease they take no new flows, and established ones are kept; a text is
accepted meanwhile."""

import time

import case
from cuttable_site import CuttableSite
from small_site import KRESBA

SECONDS = 16
# Longer than kNodeLease and kRegistryLease.
LEASE_SECONDS = 5
SETTLE_SECONDS = 20
AGENT = "trade-desk-4"
BALANCER = "b2"


def body(folder):
    with case.serving_site(folder, KRESBA, kind=CuttableSite) as site:
        nodes = len(site.nodes())
        callers = case.both_services(site, SECONDS)
        time.sleep(2)
        site.cut_off(AGENT, BALANCER)
        time.sleep(LEASE_SECONDS)
        before = {name: site.counters(name) for name in (AGENT, BALANCER)}
        new = site.start_callers("trade-desk", "non_idempotent_call",
                                 sessions=40, rate=40, seconds=3)
        faults = case.check_text(site, 7, [AGENT, BALANCER])
        if site.listed_target(AGENT):
            faults[f"{AGENT} is listed while cut off"] = 1
        new_totals = site.totals([new])
        after = {name: site.counters(name) for name in (AGENT, BALANCER)}
        grown = {(name, key): after[name][key] - before[name][key]
                 for name, key in ((AGENT, "flows_placed_here"),
                                   (BALANCER, "packets_refused_stale_view"),
                                   (BALANCER, "packets_forwarded"))}
        site.heal()
        faults.update(case.check_in_force(site, nodes, SETTLE_SECONDS))
        totals = site.totals(callers)
        again = site.totals(case.both_services(site, 3))
    print(grown, totals.counts, "new", new_totals.counts, "after", again.counts)
    if grown[AGENT, "flows_placed_here"]:
        faults["new flows at the agent"] = grown[AGENT, "flows_placed_here"]
    for key in ("packets_refused_stale_view", "packets_forwarded"):
        if not grown[BALANCER, key]:
            faults[f"no {key} at the balancer"] = 1
    faults.update(case.check_outside(site, totals, [AGENT]))
    faults.update({f"after: {key}": count
                   for key, count in again.broken_promises().items()})
    return faults


case.run(body)
