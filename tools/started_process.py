"""A process that a site has started."""

import signal
import subprocess


class Process:
    """One started process with its log."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log_path = log_path
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.arguments, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        return self

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.wait(10)

    def stop(self, seconds=40):
        self.send(signal.SIGTERM)
        return self.wait(seconds)

    def wait(self, seconds):
        if self.process is None:
            return None
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
