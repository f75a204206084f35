"""A control VM gets an old copy of its data folder back; it comes back as
another member."""

import shutil
import time

import case
import control_trial
from polling import poll


def identity(site, name):
    return (site.folder / f"{name}-data" / "identity").read_text()


def wait_for_standby(site, name, seconds=20):
    poll(lambda: [row["role"]
                  for row in control_trial.members(site).get("members", [])
                  if row["name"] == name] == ["standby"],
         seconds, f"{name} is a standby")


def disturb(site):
    leader = control_trial.leader(site)
    victim = next(name for name in site.controls if name != leader)
    data = site.folder / f"{victim}-data"
    copy = site.folder / f"{victim}-copy"
    site.processes[victim].kill()
    shutil.copytree(data, copy)
    former = identity(site, victim)
    site.start_role("control", victim)
    time.sleep(2)  # texts are accepted, the copy grows old
    site.processes[victim].kill()
    shutil.rmtree(data)
    copy.rename(data)
    site.start_role("control", victim)
    others = [name for name in site.controls if name != victim]
    control_trial.wait_for_voters(site, others + site.standbys)
    assert identity(site, victim) != former
    assert (data / "former-identity").read_text() == former
    log = (site.folder / f"{victim}.log").read_text()
    assert "old_copy_of_disk" in log and "disk-identity" in log, log[-2000:]
    wait_for_standby(site, victim)


case.run(lambda folder: control_trial.trial(folder, disturb))
