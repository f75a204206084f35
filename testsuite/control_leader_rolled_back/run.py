"""The leader gets an old copy of its data folder back, while of the two other
voters one lacks the same texts and the one that has them stands still. The two
that lack them elect no leader; afterwards the VM is another member."""

import shutil
import signal
import time

import case
import control_trial
from polling import poll

# Of submissions, each time.
SECONDS = 1.5
ALONE_SECONDS = 4


def leading_copy(site):
    """(leader, the one that lags, copy of the leader's folder) where the
    leader has led on since; the one that lags is frozen."""
    name = control_trial.leader(site)
    lagging = next(other for other in site.controls if other != name)
    copy = site.folder / f"{name}-copy"
    shutil.rmtree(copy, ignore_errors=True)
    site.processes[lagging].send(signal.SIGSTOP)
    time.sleep(SECONDS)
    site.processes[name].send(signal.SIGSTOP)
    shutil.copytree(site.folder / f"{name}-data", copy)
    site.processes[name].send(signal.SIGCONT)
    time.sleep(SECONDS)
    if control_trial.leader(site) == name:
        return name, lagging, copy
    site.processes[lagging].send(signal.SIGCONT)
    return None


def disturb(site):
    victim, lagging, copy = poll(lambda: leading_copy(site), 40, "a leader")
    newest = next(name for name in site.controls
                  if name not in (victim, lagging))
    data = site.folder / f"{victim}-data"
    log = site.folder / f"{victim}.log"
    former = (data / "identity").read_text()
    site.processes[newest].send(signal.SIGSTOP)
    site.processes[victim].kill()
    shutil.rmtree(data)
    copy.rename(data)
    start = log.stat().st_size
    site.processes[lagging].send(signal.SIGCONT)
    site.start_role("control", victim)
    time.sleep(ALONE_SECONDS)
    shown = control_trial.ask(site, "show").get("code")
    assert shown != "ok", shown
    site.processes[newest].send(signal.SIGCONT)
    poll(lambda: (data / "former-identity").exists(), 20, "it is given up")
    control_trial.wait_for_voters(site, site.controls)
    assert (data / "identity").read_text() != former
    assert (data / "former-identity").read_text() == former
    as_former = log.read_text()[start:].split("old_copy_of_disk")
    assert len(as_former) == 2, as_former[0][-2000:]
    assert "event=leading" not in as_former[0], as_former[0][-2000:]


case.run(lambda folder: control_trial.trial(folder, disturb, standbys=0))
