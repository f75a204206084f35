"""All of the availability zone of the control leader is lost at once."""

import time

import case
import control_trial
from small_site import KRESBA

SECONDS = 12
SETTLE_SECONDS = 20


def body(folder):
    with case.serving_site(folder, KRESBA, standbys=1, balancers=4) as site:
        nodes = len(site.nodes())
        callers = case.both_services(site, SECONDS)
        time.sleep(2)
        zone = site.settings(control_trial.leader(site))["zone"]
        lost, upstreams = site.processes_of(zone)
        for name in lost + upstreams:
            site.processes[name].process.kill()
        faults = case.check_text(site, 7, lost)
        left = nodes - len(set(lost) & set(site.nodes()))
        faults.update(case.check_in_force(site, left, SETTLE_SECONDS))
        totals = site.totals(callers)
        faults.update(case.check_outside(site, totals, lost))
        after = site.totals(case.both_services(site, 3))
    print(f"lost {lost}", totals.counts, "after", after.counts)
    faults.update({f"after the loss: {key}": count
                   for key, count in after.broken_promises().items()})
    return faults


case.run(body)
