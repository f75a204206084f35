"""One thread for all sockets and timers of the stand-ins."""

import heapq
import itertools
import selectors
import socket
import threading
import time


class Timer:
    def __init__(self, run):
        self.run = run

    def cancel(self):
        self.run = None


class Loop:
    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.order = itertools.count()
        self.lock = threading.Lock()
        self.calls = []
        self.failure = None
        self.stopped = False
        self.wake_in, self.wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self.selector.register(self.wake_in, selectors.EVENT_READ,
                               lambda: self.wake_in.recv(4096))
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def later(self, seconds, run):
        """Only in the loop's own thread."""
        timer = Timer(run)
        heapq.heappush(self.timers,
                       (time.monotonic() + seconds, next(self.order), timer))
        return timer

    def watch(self, readable, run):
        self.call(lambda: self.selector.register(
            readable, selectors.EVENT_READ, run))

    def unwatch(self, readable):
        self.call(lambda: self.selector.unregister(readable))

    def post(self, run):
        """Runs it in the loop's thread, soon."""
        with self.lock:
            self.calls.append(run)
        self.wake_out.send(b"x")

    def call(self, run):
        """Runs it in the loop's thread and returns its result."""
        if threading.current_thread() is self.thread:
            return run()
        done = threading.Event()
        result = []

        def wrapped():
            try:
                result.append((run(), None))
            except Exception as failure:  # told to the caller
                result.append((None, failure))
            done.set()

        self.post(wrapped)
        if not done.wait(10):
            raise RuntimeError("the loop of the stand-ins hangs")
        value, failure = result[0]
        if failure is not None:
            raise failure
        return value

    def stop(self):
        self.stopped = True
        self.wake_out.send(b"x")
        self.thread.join(5)

    def _run(self):
        try:
            while not self.stopped:
                self._round()
        except Exception as failure:  # read by Fleet.finish
            self.failure = failure
            raise

    def _round(self):
        now = time.monotonic()
        wait = min(max(self.timers[0][0] - now, 0), 0.5) if self.timers else 0.5
        for key, _ in self.selector.select(wait):
            key.data()
        with self.lock:
            calls, self.calls = self.calls, []
        for run in calls:
            run()
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            _, _, timer = heapq.heappop(self.timers)
            if timer.run is not None:
                timer.run()
