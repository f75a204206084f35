"""What stand-in callers were told, checked against what the upstreams ran."""

import json
import pathlib


def load_report(path):
    """The report of one callers process."""
    return json.loads(pathlib.Path(path).read_text())


class Totals:
    """What several caller reports say together, checked against the runs."""

    OUTCOMES = ["answered", "not_run", "unknown", "refused", "lost",
                "crossed", "wrong_service"]
    KEYS = OUTCOMES + ["notifications", "broken_observations", "skipped"]

    def __init__(self, reports, runs, idempotent_prefixes=()):
        self.counts = {key: 0 for key in self.KEYS}
        self.ids = {}
        for report in reports:
            for key in self.KEYS:
                self.counts[key] += report[key]
            for key, ids in report["ids"].items():
                self.ids.setdefault(key, []).extend(ids)
        self.false_not_run = [i for i in self.ids.get("not_run", [])
                              if runs.get(i, 0) > 0]
        self.duplicated = [
            i for i, count in runs.items()
            if count > 1 and not i.startswith(tuple(idempotent_prefixes))]
        self.answered_without_run = [
            i for i in self.ids.get("answered", []) if runs.get(i, 0) == 0]

    def requests(self):
        return sum(self.counts[key] for key in self.OUTCOMES)

    def broken_promises(self, allowed=()):
        """Counts of what must not happen, by name; empty when all is well.

        `allowed` names what the faults of a case may bring about.
        """
        faults = {
            "lost": self.counts["lost"],
            "unknown": self.counts["unknown"],
            "refused": self.counts["refused"],
            "crossed": self.counts["crossed"],
            "wrong_service": self.counts["wrong_service"],
            "broken_observations": self.counts["broken_observations"],
            "duplicated": len(self.duplicated),
            "false_not_run": len(self.false_not_run),
            "answered_without_run": len(self.answered_without_run),
            "no_answers": int(self.counts["answered"] == 0),
        }
        return {key: count for key, count in faults.items()
                if count and key not in allowed}
