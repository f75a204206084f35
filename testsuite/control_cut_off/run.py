"""The network between the leader and the other control VMs is cut while
operators still reach all of them: the leader cannot know, and says so."""

import subprocess
import time

import case
import control_trial
from cuttable_site import CuttableSite
from polling import poll

# The command itself goes on asking for longer.
PATIENCE_SECONDS = 6


def submit(site, name):
    """What this control VM answers to a text; None where nothing."""
    path = site.write_json("text-alone", control_trial.text_of(65000))
    try:
        return control_trial.ask_at(site, name, "apply", path, "--no-wait",
                                    timeout=PATIENCE_SECONDS).get("code")
    except subprocess.TimeoutExpired:
        return None


def disturb(site):
    alone = control_trial.leader(site)
    others = [name for name in site.controls if name != alone]
    site.cut_off(alone)
    told = submit(site, alone)
    poll(lambda: control_trial.ask_at(site, others[0], "members").get("leader")
         in others, 20, "the others have a leader")
    shown = [control_trial.ask_at(site, alone, command).get("code")
             for command in ("show", "status")]
    time.sleep(2)  # the others accept
    site.heal()
    print(f"{alone} alone: {told}, {shown}")
    assert told in (None, "no-quorum", "outcome-unknown", "not-leader"), told
    assert shown == ["no-quorum", "no-quorum"], shown
    poll(lambda: control_trial.ask_at(site, alone, "members").get("leader")
         in site.controls, 20, "it knows the leader")
    control_trial.wait_for_voters(site, site.controls)
    time.sleep(1)


case.run(lambda folder: control_trial.trial(folder, disturb, standbys=0,
                                            kind=CuttableSite))
