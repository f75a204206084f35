"""A balancer that still has the version without a route resets a flow that another one opened by the next version."""
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import standins  # noqa: E402

ROUNDS = 14
PROBE_S = 0.5
# How long before the second probe the change is sent, by turns.
LEADS_S = (0.12, 0.16, 0.2, 0.24)
CLIENTS = 6


class Router:
    """Sends to the first front while it is in rotation, else to the second one."""

    def __init__(self, fronts):
        self.fronts = fronts
        self.is_first_in = True

    def __call__(self):
        return self.fronts[0 if self.is_first_in else 1]


def case(record, trouble):
    site = standins.Site(record, cores=3, fronts=2, sides=["s1"], beat_ms=1200)
    try:
        return play(site, record, trouble)
    finally:
        site.close()


def configuration(site, version, with_route):
    routes = [("r1", 8080, "s1")] + ([("r2", 8081, "s1")] if with_route else [])
    return site.configuration(version, routes, ["s1"])


def play(site, record, trouble):
    site.start()
    version = 7
    site.put(configuration(site, version, True))
    for front in site.fronts:
        site.wait_ready(front)
    target = standins.Target(site, site.sides[0], "t1")
    router = Router(site.fronts)
    clients = [standins.Client(site, router, host=101 + i) for i in range(CLIENTS)]
    time.sleep(standins.CONTACT_WINDOW_S)
    for i in range(ROUNDS):
        site.put(configuration(site, version + 1, False))
        time.sleep(standins.CONFIG_APPLY_S)
        if not play_round(site, record, trouble, version + 2, LEADS_S[i % len(LEADS_S)], router, clients,
                          target):
            return False
        version += 2
    return True


def play_round(site, record, trouble, version, lead_s, router, clients, target):
    front = site.fronts[0]
    if trouble:
        front.send_signal(signal.SIGTERM)
        time.sleep(0.02)
    missed = 0 if site.is_ready(front) else 1
    out_at = time.monotonic() + PROBE_S
    time.sleep(max(0.0, out_at - lead_s - time.monotonic()))
    lost = []
    threads = [threading.Thread(target=use, args=(record, client, out_at, lost, target), daemon=True)
               for client in clients]
    putter = threading.Thread(target=site.put, args=(configuration(site, version, True),), daemon=True)
    putter.start()
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, out_at - time.monotonic()))
    missed += 0 if site.is_ready(front) else 1
    if missed == 2:
        router.is_first_in = False
        record.note("out_of_rotation", node=front.name)
    for thread in threads:
        thread.join()
    putter.join()
    if trouble:
        front.wait(6.0)
        time.sleep(0.3)
        front.start()
        site.wait_ready(front)
    router.is_first_in = True
    return not lost


def use(record, client, out_at, lost, target):
    """Opens a flow as soon as the route is there, and goes on with it at the next balancer."""
    flow = None
    while flow is None and time.monotonic() < out_at:
        flow = client.open(8081)
        time.sleep(0.004)
    if flow is None or client.request(flow, f"first-{flow.port}", 0.5) != "answered":
        return
    time.sleep(max(0.0, out_at + 0.004 - time.monotonic()))
    outcome = client.request(flow, f"second-{flow.port}", 1.0)
    held = target.flows.get(((client.ip, flow.port), (f"{client.site.net}.201", 8081)), {})
    if outcome == "reset" and flow.reset_is_systems and held.get("open") and not held["ended"]:
        record.note("broken", flow=f"{client.ip}:{flow.port}")
        lost.append(flow)


sys.exit(standins.run_case(__file__, case, trouble=sys.argv[1:] != ["0"]))
