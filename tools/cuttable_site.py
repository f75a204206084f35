"""A site between whose control VMs and nodes the network can be cut while all
processes go on."""

import pathlib
import select
import socket
import threading

from small_site import CONTROL_PORT, Site

CHUNK_BYTES = 65536
WAIT_SECONDS = 0.05


def inode_of(port, to):
    """Of the socket with this port that is connected to a control VM."""
    far = socket.inet_aton(to)[::-1].hex().upper() + f":{CONTROL_PORT:04X}"
    for table in ("tcp", "tcp6"):
        for line in pathlib.Path(f"/proc/net/{table}").read_text().splitlines():
            fields = line.split()
            if fields[1].endswith(f":{port:04X}") and fields[2].endswith(far):
                return fields[9]
    return None


def links_of(pid):
    """What the descriptors of a process stand for."""
    try:
        return [str(entry.readlink())
                for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir()]
    except OSError:
        return []


class Way:
    """One TCP connection to a control VM, passed on in both directions."""

    def __init__(self, near, far, ends):
        self.sockets = {near: far, far: near}
        self.ends = ends

    def pass_on(self, is_cut):
        """Until one end closes; while cut, all that is sent waits here."""
        while True:
            readable, _, _ = select.select(self.sockets, [], [], WAIT_SECONDS)
            while is_cut(self.ends):
                if not is_cut.wait():
                    return
            for source in readable:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return
                self.sockets[source].sendall(data)

    def run(self, is_cut):
        try:
            self.pass_on(is_cut)
        except OSError:
            pass
        for end in self.sockets:
            end.close()


class Cut:
    """Which names are on the far side of the cut."""

    def __init__(self):
        self.names = frozenset()
        self.ended = threading.Event()

    def __call__(self, ends):
        return len(self.names.intersection(ends)) == 1

    def wait(self):
        """False once the site has ended."""
        return not self.ended.wait(WAIT_SECONDS)


class CuttableSite(Site):
    """Control VMs are reached at addresses that pass connections on to them;
    operators' commands go to the control VMs themselves."""

    def __init__(self, *arguments, **options):
        self.cut = Cut()
        super().__init__(*arguments, **options)
        for name in self.controls + self.standbys:
            listening = socket.create_server(
                (self.ip(f"way to {name}"), CONTROL_PORT))
            threading.Thread(target=self.accept, args=(listening, name),
                             daemon=True).start()

    def announced_address(self, name):
        return f"{self.ip(f'way to {name}')}:{CONTROL_PORT}"

    def cut_off(self, *names):
        """Nothing passes any more between these and all others."""
        self.cut.names = frozenset(names)

    def heal(self):
        self.cut_off()

    def owner(self, port, to):
        """Name of the process with a connection from this port, or None."""
        link = f"socket:[{inode_of(port, to)}]"
        for name, started in list(self.processes.items()):
            if started.running() and link in links_of(started.process.pid):
                return name
        return None

    def accept(self, listening, name):
        while not self.cut.ended.is_set():
            near, (_, port) = listening.accept()
            try:
                far = socket.create_connection((self.ip(name), CONTROL_PORT))
            except OSError:
                near.close()
                continue
            way = Way(near, far, (self.owner(port, self.ip(f"way to {name}")),
                                  name))
            threading.Thread(target=way.run, args=(self.cut,),
                             daemon=True).start()

    def kill_all(self):
        self.cut.ended.set()
        super().kill_all()
