"""Two targets leave, one by a stop signal and one by command, with long queues
and new flows all the time: their upstreams get no new work past the bound.

No clock of the machine decides. The bound runs from the agent's own line that
it drains; once it is over and the agent has done all that was due, the case
sends the upstream a request of its own. The upstream's record is in order of
arrival, so what stands behind that request was begun too late.
"""

import copy
import signal
import socket
import time

import case
from polling import poll
from small_site import INNER_PORT, KRESBA, UPSTREAM_PORT

BOUND_SECONDS = 3
PATIENCE_SECONDS = 20
# POST /offers?id=... as a message that is not confirmed (RFC 7252, section 3).
FENCE_HEADER = b"\x50\x02\xff\xff\xb6offers\x4d"


def description():
    """One service of 20 calls a second, whose callers wait up to 10 s."""
    changed = copy.deepcopy(KRESBA)
    entry = changed["services"]["trade-desk"]
    entry.update(targets=4, run_ms=400)
    entry["calls"][0]["timeout_ms"] = 10000
    changed["services"] = {"trade-desk": entry}
    return changed


def send(address, datagram):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as out:
        out.sendto(datagram, address)


def wait_for_round(site, name):
    """Until the agent has handled a datagram that is sent now."""
    before = site.counters(name)["packets_dropped"]
    send((site.ip(name), INNER_PORT), b"?")
    poll(lambda: site.counters(name)["packets_dropped"] > before, 20,
         f"{name} reads")


def fence(site, name):
    """Sends the upstream a request once the bound of its agent is over."""
    poll(lambda: "event=draining" in (site.folder / f"{name}.log").read_text(),
         20, f"{name} drains")
    time.sleep(BOUND_SECONDS)
    # The second one is read after all that was due with the first one.
    wait_for_round(site, name)
    wait_for_round(site, name)
    query = f"id=fence-{name}".encode()
    send((site.ip(name), UPSTREAM_PORT),
         FENCE_HEADER + bytes([len(query) - 13]) + query)
    poll(lambda: f"fence-{name}" in site.runs_of(name), 20, "the fence runs")


def callers(site, seconds, sessions, rate):
    return site.start_callers(
        "trade-desk", "non_idempotent_call", sessions=sessions, rate=rate,
        seconds=seconds, patience=PATIENCE_SECONDS)


def body(folder):
    faults = {}
    stopped, drained = "trade-desk-3", "trade-desk-4"
    with case.serving_site(folder, description()) as site:
        started = [callers(site, 10, 280, 200)]
        time.sleep(4)
        waiting = {name: site.node_status(name)["metrics"]["gauges"]
                   ["requests_waiting"] for name in (stopped, drained)}
        site.processes[stopped].send(signal.SIGTERM)
        number = site.listed_target(drained)["id"]
        status, output = site.command("drain", number)
        if status != 0:
            faults[f"drain: {output}"] = status
        for _ in range(4):
            started.append(callers(site, 4, 10, 10))
            time.sleep(0.5)
        for name in waiting:
            fence(site, name)
        totals = site.totals(started)
        for name in waiting:
            runs = site.runs_of(name)
            late = len(runs) - 1 - runs.index(f"fence-{name}")
            if late:
                faults[f"begun too late at {name}"] = late
    print(f"waiting as they left {waiting}", totals.counts)
    # Else nothing would have been begun late without the bound.
    if min(waiting.values()) < 20:
        faults["waiting as they left"] = waiting
    faults.update(totals.broken_promises())
    return faults


case.run(body)
