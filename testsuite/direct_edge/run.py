"""A balancer that owns the service addresses serves callers without a fabric."""

import json

import case
from small_site import KRESBA, Site


def own_addresses(site):
    """Settings of the only balancer in direct mode."""
    path = site.folder / "b1.json"
    configured = json.loads(path.read_text())
    edge = configured["balancer"]
    edge["edge"] = "direct"
    for key in ("edge_listen", "edge_return"):
        del edge[key]
    path.write_text(json.dumps(configured))


class DirectSite(Site):
    """A site whose callers reach the balancer itself."""

    def start_fabric(self):
        pass


def body(folder):
    with DirectSite(folder, KRESBA, balancers=1) as site:
        own_addresses(site)
        site.start_serving()
        totals = site.totals([
            site.start_callers(
                "trade-desk", "non_idempotent_call", sessions=20, rate=60,
                seconds=3),
            site.start_callers(
                "trade-desk", "observation", sessions=5, rate=20, seconds=3),
            site.start_callers("scan-intake", "upload", sessions=5, rate=5,
                               seconds=3)])
    print(totals.counts)
    return totals.broken_promises()


case.run(body)
