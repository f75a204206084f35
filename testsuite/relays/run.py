"""Nodes pull through each other; relays die between two texts."""

import json
import re
import subprocess
import time

import case
from polling import poll
from small_site import CONTROL_PORT, INNER_PORT, KRESBA, Site

MAX_DIRECT_NODES = 4
SECONDS = 16
# Until those who lost their relay are served through others and the lost node
# has left the view.
LONGEST_SETTLE_SECONDS = 15


class RelayedSite(Site):
    """A site whose control serves few nodes itself."""

    def write_settings(self):
        super().write_settings()
        for name in self.controls + self.standbys:
            path = self.folder / f"{name}.json"
            content = json.loads(path.read_text())
            content["control"]["max_direct_nodes"] = MAX_DIRECT_NODES
            self.write_json(name, content)

    def start_traffic(self):
        """Agents come after the balancers: those that see none in the view
        take all of it, to relay themselves, and keep it for a minute."""
        self.start_balancers()
        poll(lambda: self.status().get("balancers") == len(self.balancers),
             LONGEST_SETTLE_SECONDS, "the balancers are in the view")
        self.start_targets()
        self.start_fabric()

    def pulled_from(self, port):
        """Which nodes have a connection to which address at this port."""
        listing = subprocess.run(["ss", "-tnpOH"], stdout=subprocess.PIPE,
                                 text=True, check=True).stdout
        names = {self.processes[name].process.pid: name
                 for name in self.nodes() if self.processes[name].running()}
        pulls = {}
        for line in listing.splitlines():
            owner = re.search(r"pid=(\d+)", line)
            name = names.get(int(owner.group(1))) if owner else None
            fields = line.split()
            peer = fields[4].replace("[::ffff:", "").replace("]", "")
            if name and fields[0] == "ESTAB" and peer.endswith(f":{port}"):
                pulls.setdefault(peer, set()).add(name)
        return pulls

    def children_of(self, name):
        return self.pulled_from(INNER_PORT).get(
            f"{self.ip(name)}:{INNER_PORT}", set())


def check_direct(site, when, faults):
    """No control VM serves more nodes than its bound."""
    pulls = site.pulled_from(CONTROL_PORT)
    for address, names in pulls.items():
        if len(names) > MAX_DIRECT_NODES:
            faults[f"{when}: nodes at {address}: {sorted(names)}"] = len(names)
    return max((len(names) for names in pulls.values()), default=0)


def check_parts(site, names, faults):
    """Balancers have the whole view, agents that of their service."""
    for name in names:
        if site.node_status(name)["whole_view"] != (name in site.balancers):
            faults[f"view of {name}"] = 1


def body(folder):
    faults = {}
    with RelayedSite(folder, KRESBA) as site:
        site.start_control()
        site.apply_when_ready()
        site.start_traffic()
        site.wait_until_serving()
        nodes = len(site.nodes())
        seen = site.wait_in_force(nodes, LONGEST_SETTLE_SECONDS)
        direct = check_direct(site, "before", faults)
        relays = [name for name in site.nodes() if site.children_of(name)]
        if seen["nodes_with_view"] != nodes or not relays:
            faults[f"relays {relays}, status {seen}"] = 1
            return faults

        victim = max(relays, key=lambda name: len(site.children_of(name)))
        children = site.children_of(victim)
        if victim in site.balancers:
            site.withdraw([victim])
        callers = [site.start_callers("trade-desk", "observation", sessions=10,
                                      rate=20, seconds=SECONDS)]
        site.processes[victim].kill()
        start = time.monotonic()
        status, output = site.apply(site.changed_text(7))
        if status != 0:
            faults[f"apply: {output}"] = status
        seen = site.wait_in_force(nodes - 1, LONGEST_SETTLE_SECONDS)
        settled = time.monotonic() - start
        listed = {row["name"] for row in seen["node_list"]}
        counts = (seen["nodes"], seen["nodes_with_view"],
                  len(seen["targets"]) + seen["balancers"])
        if seen["direct_nodes"] > MAX_DIRECT_NODES:
            faults["direct nodes"] = seen["direct_nodes"]
        if counts != (nodes - 1,) * 3 or victim in listed:
            faults[f"nodes, in force, in the view: {counts}"] = 1
        check_direct(site, "after", faults)
        check_parts(site, [name for name in site.nodes() if name != victim],
                    faults)
        start = time.monotonic()
        status, output = site.apply(site.changed_text(8))
        in_force = time.monotonic() - start
        if status != 0:
            faults[f"second apply: {output}"] = status
        removed = [name for name in site.nodes() if name != victim and
                   "event=removed" in (site.folder / f"{name}.log").read_text()]
        if removed:
            faults[f"lost with the relay: {removed}"] = len(removed)
        totals = site.totals(callers)
    print(f"direct {direct}, relays {relays}, killed {victim} with "
          f"{len(children)} children; settled {settled:.1f} s, next text in "
          f"force {in_force:.1f} s")
    print(totals.counts)
    # The upstream beside the killed agent is cut off from its callers.
    faults.update(totals.broken_promises(
        allowed=("lost", "unknown", "broken_observations")))
    return faults


case.run(body)
