"""All control VMs are killed at once and started again, several times."""

import time

import case
import control_trial

ROUNDS = 3


def disturb(site):
    for _ in range(ROUNDS):
        time.sleep(1)
        for name in site.controls + site.standbys:
            site.processes[name].kill()
        site.start_control()
        control_trial.leader(site)


case.run(lambda folder: control_trial.trial(folder, disturb))
