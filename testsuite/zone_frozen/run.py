"""All of the control leader's availability zone stands still for longer than
every lease; meanwhile a text is accepted that takes a call out. Then it goes
on, with what it knew."""

import signal
import time

import case
import control_trial
from small_site import KRESBA

SECONDS = 18
SETTLE_SECONDS = 20
# Longer than kRelayedLease and kNodeLease together.
FROZEN_SECONDS = 10


def old_answers(site, name, version):
    """What a control VM shows that is older than this version."""
    until = time.monotonic() + 2
    shown = []
    while time.monotonic() < until:
        answer = control_trial.ask_at(site, name, "show")
        shown.append(answer.get("version", version))
    return [seen for seen in shown if seen < version]


def body(folder):
    with case.serving_site(folder, KRESBA, standbys=1, balancers=4) as site:
        nodes = len(site.nodes())
        callers = case.both_services(site, SECONDS)
        time.sleep(2)
        control = control_trial.leader(site)
        frozen, _ = site.processes_of(site.settings(control)["zone"])
        for name in frozen:
            site.processes[name].send(signal.SIGSTOP)
        start = time.monotonic()
        time.sleep(1)  # some datagrams wait for the frozen balancer
        site.withdraw(set(site.balancers) & set(frozen))
        faults = case.check_text(site, 7, frozen, without="stall-feed")
        version = control_trial.ask(site, "show")["version"]
        time.sleep(max(0, start + FROZEN_SECONDS - time.monotonic()))
        gone = site.start_callers("trade-desk", "idempotent_call", sessions=40,
                                  rate=60, seconds=4)
        site.withdraw([])
        for name in frozen:
            site.processes[name].send(signal.SIGCONT)
        old = old_answers(site, control, version)
        if old:
            faults["older texts shown"] = len(old)
        faults.update(case.check_in_force(site, nodes, SETTLE_SECONDS))
        totals = site.totals(callers)
        faults.update(case.check_outside(site, totals, frozen))
        taken_out = site.totals([gone])
        run = set(sum(taken_out.ids.values(), [])) & set(site.runs())
        if run or taken_out.counts["answered"]:
            faults["calls that the text has no more"] = len(run)
        after = site.totals(case.both_services(site, 3))
    print(f"frozen {frozen}", totals.counts, "taken out", taken_out.counts,
          "after", after.counts)
    faults.update({f"after: {key}": count
                   for key, count in after.broken_promises().items()})
    return faults


case.run(body)
