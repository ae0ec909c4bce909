"""Counts the requests of a played day that their hosts' log lines can't explain.

``python -m scripts.unexplained LOG...``: each request with a line must have one that
tells how it ended for its caller, or its host one that it was killed and started anew.
"""

import sys
from collections import defaultdict

from poplarrun.cli._timeline import FINAL_EVENTS, build_timeline, read_log_lines

SHOWN = 10


def find_unexplained(paths: list[str]) -> tuple[int, int, list[str]]:
    """Return how many requests there are, how many failed, and those without an end."""
    lines = list(read_log_lines(paths))
    events: dict[str, set[str]] = defaultdict(set)
    failed: set[str] = set()
    for line in lines:
        request = line.fields.get("request")
        if not request:
            continue
        events[request].add(line.event)
        if line.event in FINAL_EVENTS and line.fields.get("status", 500) >= 400:
            failed.add(request)
    open_ended = [request for request, seen in events.items() if not seen & FINAL_EVENTS]
    unexplained = [
        request for request in open_ended if build_timeline(request, lines).restart_line is None
    ]
    return len(events), len(failed), unexplained


def main() -> int:
    """Print the counts; return the exit code."""
    requests, failed, without_end = find_unexplained(sys.argv[1:])
    print(f"{requests} requests, {failed} failed, refused or left, {len(without_end)} unexplained")
    for request in without_end[:SHOWN]:
        print(f"  {request}")
    return 1 if without_end else 0


if __name__ == "__main__":
    sys.exit(main())
