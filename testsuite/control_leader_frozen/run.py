"""The leader is stopped for longer than its lease and goes on after."""

import signal
import time

import case
import control_trial

ROUNDS = 3
FROZEN_SECONDS = 2.5


def disturb(site):
    for _ in range(ROUNDS):
        frozen = control_trial.leader(site)
        site.processes[frozen].send(signal.SIGSTOP)
        time.sleep(FROZEN_SECONDS)
        site.processes[frozen].send(signal.SIGCONT)
        time.sleep(1)


case.run(lambda folder: control_trial.trial(folder, disturb, standbys=0))
