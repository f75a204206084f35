"""A voter is lost for good; right after the repair a second one is lost."""

import case
import control_trial


def disturb(site):
    first = control_trial.leader(site)
    site.processes[first].kill()
    left = [name for name in site.controls if name != first]
    control_trial.wait_for_voters(site, left + site.standbys)
    second = control_trial.leader(site)
    site.processes[second].kill()
    # Two of the three voters are left.
    assert control_trial.leader(site) not in (first, second)


case.run(lambda folder: control_trial.trial(folder, disturb))
