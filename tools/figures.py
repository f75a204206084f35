"""Figures as the measurements print them: lines of key=value, or of a label
and several key=value pairs."""

import statistics


def parse(text):
    """The figures of lines of one key=value each, as strings by key."""
    return dict(line.split("=", 1) for line in text.splitlines()
                if "=" in line and " " not in line)


def parse_rows(text, label):
    """The lines that begin with `label`, each as strings by key."""
    return [dict(pair.split("=", 1) for pair in line.split()[1:])
            for line in text.splitlines() if line.split(" ")[0] == label]


def print_spread(key, values):
    """Prints the median of several runs under `key`, and the extremes."""
    print(f"{key}={statistics.median(values):.0f}")
    print(f"{key}_min={min(values):.0f}")
    print(f"{key}_max={max(values):.0f}")
