"""What the processes count agrees with what the stand-in callers saw, and
any balancer or agent can be asked for it."""

import json
import subprocess

import case
from small_site import BIN, INNER_PORT, KRESBA

SECONDS = 4


def ask(address, *arguments):
    """Asks one node for its status; returns (exit status, output)."""
    done = subprocess.run(
        [str(BIN / "cardamomroute"), "status", "--node", address, *arguments],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        timeout=30, check=False)
    return done.returncode, done.stdout


def measured(site, names, role):
    """The sums of what these nodes count, by name of the metric."""
    sums = {}
    for name in names:
        answer = site.node_status(name)
        if (answer["name"], answer["role"]) != (name, role):
            raise RuntimeError(f"{name} says it is {answer}")
        if answer["view_version"] < 1:
            raise RuntimeError(f"{name} has no view")
        for kind in ("counters", "gauges"):
            for key, value in answer["metrics"][kind].items():
                sums[key] = sums.get(key, 0) + value
        for key, value in answer["metrics"]["latencies"].items():
            sums[key] = sums.get(key, 0) + value["count"]
    return sums


def check(seen, balancers, agents, control):
    """Faults by name."""
    wanted = {
        "answered at agents":
            agents["requests_answered"] + agents["repeats_answered"]
            >= seen["answered"] > 0,
        "not run at agents": agents["requests_not_run"] >= seen["not_run"],
        "started": agents["requests_started"] >= agents["time_at_upstream"]
            >= seen["answered"],
        "nothing is open":
            agents["slots_in_use"] == agents["requests_waiting"] == 0,
        "placed flows": agents["flows_placed_here"] >= agents["flows_held"]
            > 0,
        "slots": agents["slots"] > 0,
        "packets of balancers": balancers["packets_in"]
            == balancers["packets_forwarded"] + balancers["packets_dropped"]
            + balancers["packets_refused_no_target"]
            + balancers["packets_refused_stale_view"],
        "answers of balancers":
            balancers["answers_delivered"] >= seen["answered"],
        "packets at agents":
            agents["packets_in"] >= balancers["packets_forwarded"],
        "batches": 0 < balancers["batches_to_agents"]
            <= balancers["packets_forwarded"],
        "texts": control["texts_accepted"] == 1,
        "pulls": control["pulls"] > control["full_views_sent"] > 0,
        "commits": control["entries_committed"] > 1,
    }
    return {key: 1 for key, kept in wanted.items() if not kept}


def body(folder):
    with case.serving_site(folder, KRESBA) as site:
        callers = [site.start_callers(service, call, sessions=10, rate=20,
                                      seconds=SECONDS)
                   for service, call in (("trade-desk", "non_idempotent_call"),
                                         ("scan-intake", "upload"))]
        totals = site.totals(callers)
        agents = measured(site, sum(site.targets.values(), []), "agent")
        balancers = measured(site, site.balancers, "balancer")
        control = site.status()["metrics"]["counters"]
        faults = check(totals.counts, balancers, agents, control)
        _, plain = ask(f"{site.ip('b1')}:{INNER_PORT}", "--language", "ja")
        if not plain.startswith("役割: balancer\n") or "packets_in" not in plain:
            faults[f"plain status: {plain}"] = 1
        status, output = ask(f"{site.ip('nobody')}:{INNER_PORT}", "--json")
        if status != 4 or json.loads(output)["code"] != "unreachable":
            faults[f"a node that is not there: {output}"] = status
    print(totals.counts)
    print("agents", agents)
    print("balancers", balancers)
    print("control", control)
    faults.update(totals.broken_promises())
    return faults


case.run(body)
