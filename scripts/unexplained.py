"""Counts the requests of a simulated day whose end the hosts' log lines don't explain.

``python -m scripts.unexplained LOG...``: for each request in the logs there must be a line
on how it ended for its caller, or a line on the restart of its killed host.
"""

import sys
from collections import defaultdict

from poplarrun.cli._timeline import FINAL_EVENTS, build_timeline, read_log_lines

MAX_PRINTED_REQUESTS = 10


def find_unexplained(paths: list[str]) -> tuple[int, int, list[str]]:
    """Return the number of requests, the number of failed ones, and the unexplained requests."""
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
    open_ended = [request for request, names in events.items() if not names & FINAL_EVENTS]
    unexplained = [
        request for request in open_ended if build_timeline(request, lines).restart_line is None
    ]
    return len(events), len(failed), unexplained


def main() -> int:
    """Print the counts; return the exit code."""
    requests, failed, unexplained = find_unexplained(sys.argv[1:])
    print(f"{requests} requests, {failed} failed, refused or left, {len(unexplained)} unexplained")
    for request in unexplained[:MAX_PRINTED_REQUESTS]:
        print(f"  {request}")
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
