"""Plain datagram services: flows keep their upstream through a planned stop
of a balancer and while a target drains, which waits for its flows to end."""

import collections
import json
import select
import socket
import threading
import time

import case
from small_site import SERVICE_PORT, UPSTREAM_PORT, Site

SITE = {
    "zones": ["praha-a", "praha-b"],
    "services": {
        "price-ticks": {"targets": 3, "slots": 1},
        "scan-sync": {"targets": 2, "slots": 1},
    },
}
FLOWS = 24
LATE_FLOWS = 12
GAP_SECONDS = 0.1
LONGEST_END_SECONDS = 60


class DatagramSite(Site):
    """A site whose services are plain datagrams."""

    def text(self):
        return {"services": [
            {"name": name, "address": self.service_address(name),
             "protocol": "datagram"} for name in self.targets]}

    def start_upstream(self, service, name):
        """The upstreams are sockets of this case; see Upstreams."""


class Upstreams(threading.Thread):
    """Echo servers; each answer names the upstream that gave it."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.seen = collections.defaultdict(set)
        self.sockets = {}
        for service, names in site.targets.items():
            for name in names:
                bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                bound.bind((site.ip(name), UPSTREAM_PORT))
                self.sockets[bound] = (service, name)

    def run(self):
        while True:
            ready, _, _ = select.select(list(self.sockets), [], [])
            for bound in ready:
                datagram, peer = bound.recvfrom(2048)
                service, name = self.sockets[bound]
                flow = json.loads(datagram)["flow"]
                self.seen[flow].add((service, name))
                answer = {"flow": flow, "service": service, "target": name}
                bound.sendto(json.dumps(answer).encode(), peer)


class Flow:
    """One caller with a port of its own."""

    def __init__(self, site, service, number):
        self.name = f"{service}/{number}"
        self.service = service
        self.to = (site.ip(f"service {service}"), SERVICE_PORT)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((site.ip("callers"), 0))
        self.sent = 0
        self.answered = 0
        self.targets = set()
        self.crossed = 0
        self.open = True

    def send(self):
        self.sent += 1
        self.socket.sendto(json.dumps({"flow": self.name}).encode(), self.to)

    def receive(self):
        datagram, peer = self.socket.recvfrom(2048)
        answer = json.loads(datagram)
        self.answered += 1
        self.targets.add(answer["target"])
        self.crossed += (answer["flow"] != self.name or peer != self.to
                         or answer["service"] != self.service)


class Callers(threading.Thread):
    """All flows; each open one sends at its own pace."""

    def __init__(self):
        super().__init__(daemon=True)
        self.flows = []
        self.running = True

    def run(self):
        due = 0
        while self.running:
            flows = list(self.flows)
            if time.monotonic() >= due:
                due = time.monotonic() + GAP_SECONDS
                for flow in flows:
                    if flow.open:
                        flow.send()
            by_socket = {flow.socket: flow for flow in flows}
            ready, _, _ = select.select(
                list(by_socket), [], [], max(0, due - time.monotonic()))
            for one in ready:
                by_socket[one].receive()

    def add(self, site, first, count):
        """Opens flows of each service; waits until each was answered."""
        added = [Flow(site, service, first + i)
                 for service in site.targets for i in range(count)]
        self.flows = self.flows + added
        return self.wait_for(lambda: all(flow.answered for flow in added))

    @staticmethod
    def wait_for(done, seconds=30):
        deadline = time.monotonic() + seconds
        while not done() and time.monotonic() < deadline:
            time.sleep(0.05)
        return done()


def drain(site, callers, faults):
    """Drains a target while its flows go on, then ends the flows."""
    drained = max(site.targets["price-ticks"], key=lambda name: sum(
        name in flow.targets for flow in callers.flows))
    own = [flow for flow in callers.flows if drained in flow.targets]
    status, output = site.command("drain", site.listed_target(drained)["id"])
    if status != 0:
        faults[f"drain: {output}"] = status
    time.sleep(3)
    if not callers.add(site, FLOWS, LATE_FLOWS):
        faults["new flows without an answer during the drain"] = 1
    # Longer than a silent flow lives on a draining target.
    before = {flow.name: flow.answered for flow in own}
    time.sleep(18)
    if not site.listed_target(drained):
        faults["the target left before its flows had ended"] = 1
    for flow in own:
        if flow.answered - before[flow.name] < 100:
            faults[f"{flow.name} was cut by the drain"] = 1
        flow.open = False
    if not callers.wait_for(lambda: not site.listed_target(drained),
                            LONGEST_END_SECONDS):
        faults["the drained target is still listed"] = 1
    taken = [flow.name for flow in callers.flows
             if flow not in own and drained in flow.targets]
    if taken:
        faults["new flows on the draining target"] = len(taken)
    print("flows of the drained target:", len(own))
    return own


def body(folder):
    faults = {}
    with DatagramSite(folder, SITE) as site:
        upstreams = Upstreams(site)
        upstreams.start()
        site.start_control()
        site.apply_when_ready()
        site.start_traffic()
        callers = Callers()
        callers.start()
        if not callers.add(site, 0, FLOWS):
            faults["flows without an answer"] = 1
        status = site.stop_balancer("b1")
        if status != 0:
            faults["exit status of the stopped balancer"] = status
        own = drain(site, callers, faults)
        time.sleep(1)
        callers.running = False
        callers.join()
        faults["flows of the drained target: none"] = int(not own)
        faults["crossed"] = sum(flow.crossed for flow in callers.flows)
        faults["flows that reached two upstreams"] = sum(
            len(targets) > 1 for targets in upstreams.seen.values())
        faults["flows that reached another service"] = sum(
            any(service != flow.split("/")[0] for service, _ in targets)
            for flow, targets in upstreams.seen.items())
        sent = sum(flow.sent for flow in callers.flows)
        lost = sent - sum(flow.answered for flow in callers.flows)
        print(f"flows {len(callers.flows)}, sent {sent}, unanswered {lost}")
        # Before the first view, and those under way when the callers end.
        faults["too many unanswered"] = int(lost > sent // 20)
    return {key: count for key, count in faults.items() if count}


case.run(body)
