"""A route moves to another service while an opening waits beside a busy target; its copies come after the change."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

SLOTS = 5
# More than the target has slots and its node gives it beyond them, so that openings wait there.
BUSY_FLOWS = SLOTS + 7
WORK_S = 0.2
DOWNGRADE_SLACK_S = 0.25
# A round counts where the change was seen early enough for the last copy, 0.6 s after the first, to be too late.
SEEN_WITHIN_S = 0.3
ROUNDS = 6
HELD, BROKEN, NO_ROUND = range(3)


def case(record, trouble):
    site = standins.Site(record, cores=3, fronts=1, sides=["s1", "s2"], beat_ms=1200)
    try:
        return play(site, record, trouble)
    finally:
        site.close()


def play(site, record, trouble):
    front = site.fronts[0]
    site.start()
    version = 7
    site.put(site.configuration(version, [("r1", 8080, "s1")], ["s1", "s2"]))
    site.wait_ready(front)
    old = standins.Target(site, site.sides[0], "old", slots=SLOTS, work_s=WORK_S)
    new = standins.Target(site, site.sides[1], "new", slots=SLOTS)
    time.sleep(standins.CONTACT_WINDOW_S + 1.0)
    client = standins.Client(site, lambda: front)
    other = standins.Client(site, lambda: front, host=102)
    for _ in range(ROUNDS):
        outcome = play_round(site, record, trouble, version, client, other, old, new)
        if outcome != NO_ROUND:
            return outcome == HELD
        version += 2
        site.put(site.configuration(version, [("r1", 8080, "s1")], ["s1", "s2"]))
        time.sleep(standins.CONFIG_APPLY_S)
    raise standins.CannotRun("no round in which the change was seen in time")


def play_round(site, record, trouble, version, client, other, old, new):
    """The route is with the first service; many clients come at once, then it moves to the second one."""
    flows = [client.open(8080) for _ in range(BUSY_FLOWS)]
    if None in flows:
        raise standins.CannotRun("the first flows did not open")
    ends = threading.Event()
    for i, flow in enumerate(flows):
        threading.Thread(target=load, args=(client, flow, f"busy-{version}-{i}", ends), daemon=True).start()
    time.sleep(0.1)

    waiting = []
    seen_before = len(new.openings)
    begun = time.monotonic()
    opener = threading.Thread(target=lambda: waiting.append(client.open(8080)), daemon=True)
    opener.start()
    time.sleep(0.01)
    if trouble:
        site.put(site.configuration(version + 1, [("r1", 8080, "s2")], ["s1", "s2"]))
        while len(new.openings) == seen_before and time.monotonic() < begun + SEEN_WITHIN_S:
            threading.Thread(target=other.open, args=(8080,), daemon=True).start()
            time.sleep(0.03)
    time.sleep(max(0.0, begun + 0.65 - time.monotonic()))
    ends.set()
    opener.join()
    flow = waiting[0]
    if flow is not None:
        client.request(flow, f"waited-{version}", 1.5)
    if not trouble:
        return HELD if flow is not None else NO_ROUND
    seen = [came for _, _, _, came in new.openings[seen_before:] if came < begun + SEEN_WITHIN_S]
    taken = [copy for source, _, copy, _ in old.openings if flow is not None and source == (client.ip, flow.port)]
    if not seen or not taken:
        record.note("no_round", change_seen=len(seen), opening_taken_by_the_old_service=len(taken))
        return HELD if seen and flow is not None else NO_ROUND
    late = flow.sent_at[taken[0]] - seen[0]
    record.note("taken", target=old.name, flow=f"{client.ip}:{flow.port}", copy=taken[0],
                sent_after_the_change_was_seen_s=round(late, 3))
    return BROKEN if late > DOWNGRADE_SLACK_S else HELD


def load(client, flow, name, ends):
    """A user who sends the next request as soon as the last one is answered."""
    number = 0
    while not ends.is_set() and client.request(flow, f"{name}-{number}") == "answered":
        number += 1


sys.exit(standins.run_case(__file__, case, trouble=sys.argv[1:] != ["0"]))
