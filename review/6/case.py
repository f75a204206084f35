"""A deregistration that a partition delayed arrives after its sender's successor has registered."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

CUT_S = 5.5


def case(record, trouble):
    site = standins.Site(record, cores=3, fronts=1, sides=["s1"], beat_ms=1200)
    try:
        return play(site, record, trouble)
    finally:
        site.close()


def play(site, record, trouble):
    front, side = site.fronts[0], site.sides[0]
    site.start()
    site.put(site.configuration(7, [("r1", 8080, "s1")], ["s1"]))
    site.wait_ready(front)

    # The target leaves as planned: it drains, serves for drain_ms and a little longer.
    before = standins.Target(site, side, "t1")
    time.sleep(3.0)
    before.state = "draining"
    drained = before.beat()
    if drained != 200:
        raise standins.CannotRun("the draining heartbeat was not acknowledged")
    time.sleep(standins.DRAIN_S + 0.5)
    before.pause_beats()
    late = standins.DelayedCall(site, before) if trouble else None
    cut_at = time.monotonic()
    if trouble:
        # The cut holds the call up: no acknowledgement, so the target exits some seconds later.
        record.note("cut", target=before.name)
        late.send("deregister")
        time.sleep(2.0)
    else:
        before.send("deregister")
    before.crash()

    # It starts again under its id, behind the cut; its first call after the cut gets through.
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    record.note("healed")
    after = standins.Target(site, side, "t1")
    client = standins.Client(site, lambda: front)
    flow = None
    while flow is None:
        time.sleep(0.05)
        flow = client.open(8080)
        if time.monotonic() > after.began + 3.0:
            raise standins.CannotRun("no flow opened at the target that has come back")
    if client.request(flow, "first") != "answered":
        raise standins.CannotRun("the first request was not answered")
    if late is not None:
        # The kernel sends it again 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first time.
        time.sleep(max(0.0, cut_at + 6.2 - time.monotonic()))
        late.deliver()
    # Longer than contact_window_ms, shorter than idle_timeout_ms.
    time.sleep(standins.CONTACT_WINDOW_S + 2.0)
    outcome = client.request(flow, "second")
    return not (outcome == "reset" and flow.reset_is_systems and not after.is_over)


sys.exit(standins.run_case(__file__, case, trouble=sys.argv[1:] != ["0"]))
