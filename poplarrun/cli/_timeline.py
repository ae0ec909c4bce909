"""Builds the timeline of one request from the log lines of several hosts."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

STANDARD_INPUT = "-"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# State changes of a host within this time before the request's first line may have affected it.
CONTEXT_WINDOW_S = 10.0
# A killed host logs no end of its open requests; it is restarted within this time.
RESTART_WINDOW_S = 15.0
RESTART_EVENT = "HostStarted"
# Events with which a request ends for its caller.
FINAL_EVENTS = frozenset(("RequestAnswered", "RequestRefused", "AnswerBroken", "CallerLeft"))
# Events that change the state of a host and affect every request that it serves.
HOST_STATE_EVENTS = frozenset(
    (
        "ConfigInForce",
        "StoreLost",
        "StoreBack",
        "PeersChanged",
        "HostStarted",
        "HostStopping",
        "HostReady",
        "RolloutJudged",
        "RolloutOrdered",
        "RolloutPhaseLearnt",
        "LinesLeftOut",
    )
)
ENDPOINT_EVENTS = frozenset(
    ("EndpointChanged", "EndpointCrashed", "EndpointsGone", "HoldOffAsked", "LeavingAnnounced")
)
# Fields of every line, as opposed to those of its event.
COMMON_FIELDS = frozenset(("asctime", "levelname", "message", "host", "event", "request"))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decoded log line.

    Attributes
    ----------
    logged_at : datetime
        By the clock of the host that logged it; the clocks of hosts differ slightly.
    """

    logged_at: datetime
    host: str
    event: str
    text: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """What was logged about one request.

    Attributes
    ----------
    lines : tuple of LogLine
        The request's own lines, in order of time.
    context : tuple of LogLine
        State changes of the same hosts shortly before, and of the endpoints to which the
        request was sent.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]

    @property
    def final_line(self) -> LogLine | None:
        """The line that tells how the request ended for its caller; None without one."""
        final_lines = [line for line in self.lines if line.event in FINAL_EVENTS]
        return final_lines[-1] if final_lines else None

    @property
    def restart_line(self) -> LogLine | None:
        """The line of the host's first start after the request's last line, if any."""
        restarts = [
            line
            for line in self.context
            if line.event == RESTART_EVENT
            and self.lines
            and line.logged_at > self.lines[-1].logged_at
        ]
        return restarts[0] if restarts else None


def read_log_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines from files, or from standard input for ``-``.

    Anything before the JSON object of a line, such as a log collector's time and name, is
    skipped, and so are lines that no host logged.
    """
    for path in paths:
        if path == STANDARD_INPUT:
            yield from _decode_lines(sys.stdin)
            continue
        with Path(path).open(errors="replace") as file:
            yield from _decode_lines(file)


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Select the lines that are relevant to one request."""
    candidates = [line for line in lines if _may_be_relevant(line, request_id)]
    candidates.sort(key=lambda line: line.logged_at)
    own = [line for line in candidates if line.fields.get("request") == request_id]
    if not own:
        return RequestTimeline(request_id, (), ())
    hosts = {line.host for line in own}
    endpoints = {line.fields["endpoint"] for line in own if "endpoint" in line.fields}
    context_start = own[0].logged_at - timedelta(seconds=CONTEXT_WINDOW_S)
    restart_limit = own[-1].logged_at + timedelta(seconds=RESTART_WINDOW_S)
    context = [
        line
        for line in candidates
        if line.host in hosts
        and context_start
        <= line.logged_at
        <= (restart_limit if line.event == RESTART_EVENT else own[-1].logged_at)
        and (line.event in HOST_STATE_EVENTS or _names_any(line, endpoints))
    ]
    return RequestTimeline(request_id, tuple(own), tuple(context))


def render_timeline(timeline: RequestTimeline) -> str:
    """Return a timeline as text for people."""
    rows = [f"request {timeline.request_id}: {_describe_outcome(timeline)}"]
    for line in timeline.lines:
        rows.append(f"  {_render_line(line)}")
    if timeline.context:
        rows.append(f"state changes of its hosts from {CONTEXT_WINDOW_S:.0f} s before:")
        rows += [f"  {_render_line(line)}" for line in timeline.context]
    return "\n".join(rows)


def _describe_outcome(timeline: RequestTimeline) -> str:
    if timeline.final_line is not None:
        return f"{timeline.final_line.event}: {timeline.final_line.text}"
    if timeline.restart_line is not None:
        return f"{timeline.restart_line.host} ended without logging an outcome, and was restarted"
    return "no log line tells how it ended"


def encode_timeline(timeline: RequestTimeline) -> str:
    """Return a timeline as JSON."""

    def encode(line: LogLine) -> dict[str, Any]:
        return {
            "at": line.logged_at.isoformat(),
            "host": line.host,
            "event": line.event,
            **line.fields,
        }

    document = {
        "request": timeline.request_id,
        "lines": [encode(line) for line in timeline.lines],
        "context": [encode(line) for line in timeline.context],
    }
    return json.dumps(document, indent=2)


def _decode_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
            logged_at = datetime.strptime(raw["asctime"], TIME_FORMAT)
            fields = {name: value for name, value in raw.items() if name not in COMMON_FIELDS}
            if "request" in raw:
                fields["request"] = raw["request"]
            yield LogLine(logged_at, raw["host"], raw["event"], raw["message"], fields)
        except (ValueError, KeyError, TypeError):
            continue


def _may_be_relevant(line: LogLine, request_id: str) -> bool:
    is_own = line.fields.get("request") == request_id
    return is_own or line.event in HOST_STATE_EVENTS or line.event in ENDPOINT_EVENTS


def _names_any(line: LogLine, endpoints: set[str]) -> bool:
    if line.event not in ENDPOINT_EVENTS:
        return False
    named = {line.fields.get("endpoint"), *line.fields.get("endpoints", ())}
    return bool(named & endpoints)


def _render_line(line: LogLine) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "request")
    return f"{line.logged_at:%H:%M:%S.%f} {line.host} {line.text} {fields}"
