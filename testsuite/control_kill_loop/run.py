"""Control VMs are killed one after the other while operators submit."""

import time

import case
import control_trial

ROUNDS = 6


def disturb(site):
    for turn in range(ROUNDS):
        victim = control_trial.leader(site) if turn % 2 else \
            site.controls[turn % 3]
        site.processes[victim].kill()
        time.sleep(0.5)
        site.start_role("control", victim)
        time.sleep(1)


case.run(lambda folder: control_trial.trial(folder, disturb, standbys=0))
