"""A member of the core loses its disk right after it has acknowledged a change
and is back at once, empty. When it has been back for catch_up_s, the member that
acknowledged last loses its disk in the same way. No more than one member is lost
at a time, as the pages count it. Then the configuration is read back."""

import json
import pathlib
import shutil
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from fleet import Call, CannotRun, main  # noqa: E402

CATCH_UP_S = 4.0
# Beyond catch_up_s; a change is sent and acknowledged in this time.
MARGIN_S = 0.1
# recovery_s, and contact_window_ms for which the operator reads.
READ_S = 16.0
ROUNDS = 4
CALM_S = 6.0


def configuration(fleet, version):
    return fleet.configuration(
        version, [("offers", 8080, "desk", "unsafe", 600),
                  ("feed", 8000 + version, "desk", "safe", 500)], ["desk"])


def read(fleet, node):
    call = Call(node.ip, fleet.ports["control"], "GET", "/config/get")
    return json.loads(call.body)["version"] if call.status == 200 else None


def leader(fleet):
    """The member that answers a read itself."""
    end = time.monotonic() + 10
    while time.monotonic() < end:
        for node in fleet.core:
            if read(fleet, node) is not None:
                return node
        time.sleep(0.05)
    raise CannotRun("no member answers reads")


def lose_disk(fleet, node):
    node.process.kill()
    node.process.wait()
    shutil.rmtree(node.folder / "data")
    node.start()
    fleet.note(f"{node.name} was killed, has lost its disk and is back")
    return time.monotonic()


def read_back(fleet, acked):
    """Reads at every node by turns; whether what was acknowledged comes."""
    began = time.monotonic()
    seen = {}
    while time.monotonic() < began + READ_S:
        for node in fleet.core:
            version = read(fleet, node)
            seen[version] = seen.get(version, 0) + 1
            if version is not None and version >= acked:
                fleet.note(f"{node.name} answers version {version}")
                return True
        time.sleep(0.1)
    fleet.note(f"reads in {READ_S} s, by the version answered: {seen}")
    return False


def run(fleet):
    fleet.start_core_and_balancers(balancers=1)
    version = 3
    fleet.operator.put(configuration(fleet, version))
    time.sleep(CALM_S)
    for round_number in range(ROUNDS):
        fleet.note(f"round {round_number + 1}")
        first = leader(fleet)
        version += 1
        fleet.operator.put(configuration(fleet, version))
        if fleet.trouble:
            back = lose_disk(fleet, first)
            second = None
            while time.monotonic() < back + CATCH_UP_S + MARGIN_S:
                second = leader(fleet)
                time.sleep(0.02)
            version += 1
            fleet.operator.put(configuration(fleet, version))
            lose_disk(fleet, second)
        if not read_back(fleet, version):
            fleet.broken("CONFIG", f"version {version} was acknowledged and "
                         "does not come when it is read back")
            return
        time.sleep(CALM_S)
    fleet.check_processes()


if __name__ == "__main__":
    sys.exit(main(HERE, run))
