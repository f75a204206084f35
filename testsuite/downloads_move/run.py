"""Targets leave in the middle of downloads while their service is full."""

import copy
import random
import re
import socket
import threading
import time

import case
from small_site import KRESBA, SERVICE_PORT

CLIENTS = 20
# 40000 bytes; a download that is broken off would keep its slot for a while.
BLOCKS = 40
# Longer than a transfer keeps its slot, so that the flow is handed over.
PAUSE_SECONDS = 8
# 7 targets of 2 slots at 20 ms run 700 calls a second.
BURST_RATE = 1400
GET, CONTENT, UNAVAILABLE = 0x01, 0x45, 0xa3
URI_PATH, BLOCK2, ETAG = 11, 23, 4


def encode(message_id, token, number):
    """A confirmable GET of a block of /file (RFC 7252, RFC 7959)."""
    block = ((number << 4) | 6).to_bytes(2, "big")
    return (bytes([0x40 | len(token), GET]) + message_id.to_bytes(2, "big")
            + token + bytes([URI_PATH << 4 | 4]) + b"file"
            + bytes([(BLOCK2 - URI_PATH) << 4 | len(block)]) + block)


def options(body):
    """Options by number, and the payload."""
    found, number = {}, 0
    while body and body[0] != 0xff:
        nibbles = [body[0] >> 4, body[0] & 15]
        body = body[1:]
        for i, nibble in enumerate(nibbles):
            if nibble == 13:
                nibbles[i], body = body[0] + 13, body[1:]
        number += nibbles[0]
        found[number], body = body[:nibbles[1]], body[nibbles[1]:]
    return found, body[1:]


class Download:
    """A caller that reads a file block by block from one socket."""

    def __init__(self, address, seed):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(address)
        self.random = random.Random(seed)
        self.message_id = self.random.randrange(65536)
        self.holder = None
        self.answers = []

    def ask(self, number, patience=12):
        """(code, options, payload) of the answer to one block; None: none."""
        token = self.random.randbytes(4)
        self.message_id = (self.message_id + 1) % 65536
        question = encode(self.message_id, token, number)
        end = time.monotonic() + patience
        self.socket.settimeout(2)
        while time.monotonic() < end:
            self.socket.send(question)
            try:
                while True:
                    answer = self.socket.recv(2048)
                    if answer[0] >> 4 & 3 == 0:
                        self.socket.send(b"\x60\x00" + answer[2:4])
                    length = answer[0] & 15
                    if answer[1] and answer[4:4 + length] == token:
                        return (answer[1], *options(answer[4 + length:]))
            except (socket.timeout, ConnectionError):
                continue
        return None

    def begin(self):
        """Asks for the first block until it is admitted."""
        for _ in range(60):
            answer = self.ask(0)
            if answer and answer[0] == CONTENT:
                self.answers.append(answer)
                self.holder = re.search(rb"target=(\S+)",
                                        answer[2]).group(1).decode()
                return
            time.sleep(0.1)

    def go_on(self):
        self.answers += [self.ask(number) for number in range(1, BLOCKS)]

    def whole(self):
        return len(self.answers) == BLOCKS and all(
            answer and answer[0] == CONTENT
            and answer[1].get(ETAG) == self.answers[0][1].get(ETAG)
            for answer in self.answers)


def all_at_once(actions):
    threads = [threading.Thread(target=action) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def body(folder):
    description = copy.deepcopy(KRESBA)
    trade_desk = description["services"]["trade-desk"]
    trade_desk["download_path"] = "/file"
    trade_desk["calls"].append(
        {"name": "file", "method": "GET", "path": "/file",
         "class": "ordinary", "idempotent": True, "timeout_ms": 4000})
    with case.serving_site(folder, description, log_level="WARN") as site:
        address = (site.ip("service trade-desk"), SERVICE_PORT)
        downloads = [Download(address, seed) for seed in range(CLIENTS)]
        all_at_once([download.begin for download in downloads])
        callers = [site.start_callers(
            "trade-desk", "non_idempotent_call", sessions=300,
            rate=BURST_RATE, seconds=16)]
        time.sleep(3)
        leaving = ("trade-desk-6", "trade-desk-7")
        statuses = []
        stops = threading.Thread(target=lambda: statuses.extend(
            site.processes[name].stop() for name in leaving))
        stops.start()
        time.sleep(PAUSE_SECONDS)
        all_at_once([download.go_on for download in downloads])
        stops.join()
        totals = site.totals(callers)
    moved = sum(download.holder in leaving for download in downloads)
    broken = [(download.holder, [answer and f"{answer[0] >> 5}.{answer[0] & 31}"
                                 for answer in download.answers])
              for download in downloads if not download.whole()]
    print(totals.counts, "moved downloads", moved)
    faults = totals.broken_promises()
    if broken:
        faults["broken downloads"] = broken
    if not moved:
        faults["downloads on the targets that left"] = moved
    if any(statuses):
        faults["exit statuses of the stopped agents"] = statuses
    return faults


case.run(body)
