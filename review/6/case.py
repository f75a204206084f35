"""An agent restarts between the first two heartbeats of a target."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

# A process that is stopped is started again after a short delay.
RESTART_DELAY_S = 0.3


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
    time.sleep(standins.CONTACT_WINDOW_S)

    target = standins.Target(site, side, "t1")
    client = standins.Client(site, lambda: front)
    flow = None
    while flow is None:
        time.sleep(0.05)
        flow = client.open(8080)
        if time.monotonic() > target.began + 1.0:
            raise standins.CannotRun("the flow did not open before the second heartbeat")
    if client.request(flow, "first") != "answered":
        raise standins.CannotRun("the first request was not answered")
    if trouble:
        side.stop()
        time.sleep(RESTART_DELAY_S)
        side.start()
    while len(target.acked) < 2:
        time.sleep(0.01)
        if time.monotonic() > target.began + 8:
            raise standins.CannotRun("no second heartbeat was acknowledged")
    record.note("acknowledged", sequence=target.acked[1][2])
    # Longer than contact_window_ms, shorter than idle_timeout_ms.
    time.sleep(standins.CONTACT_WINDOW_S + 2.0)
    outcome = client.request(flow, "second")
    return not (outcome == "reset" and flow.reset_is_systems)


sys.exit(standins.run_case(__file__, case))
