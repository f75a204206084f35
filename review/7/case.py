"""The control process with the lowest address is killed at the first start, before the group exists."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

# All machines start within 0.3 s of each other.
START_SPREAD_S = 0.3
# A process that is killed is restarted after a short delay.
RESTART_DELAY_S = 0.5
# Far beyond ack_timeout_ms (5 s), max_stretch_ms (12 s) and recovery_s (12 s).
PATIENCE_S = 60.0


def case(record, trouble):
    site = standins.Site(record, cores=3, fronts=1, sides=["s1"], beat_ms=1200)
    try:
        return play(site, record, trouble)
    finally:
        site.close()


def play(site, record, trouble):
    first, *others = site.cores
    first.start()
    others[0].start()
    for node in site.fronts + site.sides:
        node.start()
    time.sleep(START_SPREAD_S / 2)
    if trouble:
        first.kill()
    time.sleep(START_SPREAD_S / 2)
    others[1].start()
    if trouble:
        time.sleep(RESTART_DELAY_S - START_SPREAD_S / 2)
        first.start()
    standins.Target(site, site.sides[0], "t1")
    client = standins.Client(site, lambda: site.fronts[0])
    configuration = site.configuration(7, [("r1", 8080, "s1")], ["s1"])
    back = time.monotonic()
    try:
        site.put(configuration, PATIENCE_S)
        record.note("acknowledged", after_s=round(time.monotonic() - back, 1))
        site.wait_ready(site.fronts[0])
        time.sleep(2.5)
    except standins.CannotRun as reason:
        record.note("not_acknowledged", reason=reason)
    answered = 0
    for i in range(10):
        flow = client.open(8080)
        if flow is not None and client.request(flow, f"request-{i}") == "answered":
            answered += 1
    record.note("served", answered=answered, sent=10)
    return answered > 0


sys.exit(standins.run_case(__file__, case))
