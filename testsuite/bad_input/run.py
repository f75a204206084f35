"""Datagrams and streams that are truncated, random, oversized or of another
protocol reach every port; service goes on."""

import random
import socket

import case
from small_site import (CONTROL_PORT, EDGE_PORT, INNER_PORT, KRESBA,
                        SERVICE_PORT)

SEED = 20261203
DATAGRAMS = 400


def bad_datagrams(source):
    """Random bytes, damaged CoAP, damaged frames of our own, other text."""
    makers = [
        lambda: source.randbytes(source.randrange(0, 1500)),
        lambda: source.randbytes(60000),
        lambda: b"\x40\x01" + source.randbytes(source.randrange(0, 40)),
        lambda: b"\x48\x02\x12\x34" + source.randbytes(source.randrange(0, 9)),
        lambda: b"\x01\x00" + source.randbytes(source.randrange(1, 80)),
        lambda: b"\x0d\x0a\x0d\x0a\x00\x0d\x0aQUIT\x0a" +
        source.randbytes(source.randrange(0, 60)),
        lambda: b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ]
    for _ in range(DATAGRAMS):
        yield source.choice(makers)()


def body(folder):
    source = random.Random(SEED)
    with case.serving_site(folder, KRESBA) as site:
        callers = [site.start_callers(
            "trade-desk", "non_idempotent_call", sessions=20, rate=60,
            seconds=6)]
        ports = [(site.ip(name), port) for name in ("b1", "b2")
                 for port in (EDGE_PORT, INNER_PORT)]
        ports += [(site.ip(f"trade-desk-{i}"), INNER_PORT)
                  for i in range(1, 8)]
        ports += [(site.ip("service trade-desk"), SERVICE_PORT)]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for datagram in bad_datagrams(source):
            sender.sendto(datagram, source.choice(ports))
        for name in site.controls:
            with socket.create_connection(
                    (site.ip(name), CONTROL_PORT)) as stream:
                stream.sendall(source.randbytes(2000))
        totals = site.totals(callers)
        print(totals.counts)
        faults = totals.broken_promises()
        for name, process in site.processes.items():
            if "callers" not in name and not process.running():
                faults[f"{name} has ended"] = 1
    return faults


case.run(body)
