"""A control VM loses its data folder; it comes back as another member."""

import shutil

import case
import control_trial


def disturb(site):
    lost = control_trial.leader(site)
    site.processes[lost].kill()
    shutil.rmtree(site.folder / f"{lost}-data")
    site.start_role("control", lost)
    others = [name for name in site.controls if name != lost]
    control_trial.wait_for_voters(site, others + site.standbys)
    names = [row["name"] for row in control_trial.members(site)["members"]]
    assert names.count(lost) >= 1, names


case.run(lambda folder: control_trial.trial(folder, disturb))
