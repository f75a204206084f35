"""Waiting for what another process brings about."""

import time

PAUSE_SECONDS = 0.1


def poll(probe, seconds, what, pause=PAUSE_SECONDS):
    """Asks `probe()` until it gives something true, and returns that.

    Raises RuntimeError, which names `what`, when `seconds` have passed.
    """
    deadline = time.monotonic() + seconds
    while True:
        found = probe()
        if found:
            return found
        if time.monotonic() > deadline:
            raise RuntimeError(f"not within {seconds} s: {what}")
        time.sleep(pause)
