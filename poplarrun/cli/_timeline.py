"""The story of one request, told by the log lines of several hosts."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

STANDARD_INPUT = "-"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# What a host learnt so long before the request's first line may have decided it.
BEFORE_S = 10.0
# A host that was killed writes no end of its requests; it starts anew within this time.
AFTER_S = 15.0
RESTART = "HostStarted"
# Events with which a request ends for its caller.
FINAL_EVENTS = frozenset(("RequestAnswered", "RequestRefused", "AnswerBroken", "CallerLeft"))
# Events that change what a host believes, and concern each request that it serves.
BELIEFS = frozenset(
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
        "LinesLeftOut",
    )
)
ENDPOINT_EVENTS = frozenset(("EndpointChanged", "EndpointsGone"))
SHOWN_APART = frozenset(("asctime", "levelname", "message", "host", "event", "request"))


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    Attributes
    ----------
    at : datetime
        By the clock of the host that wrote it; hosts differ by a little.
    """

    at: datetime
    host: str
    event: str
    text: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs tell of one request.

    Attributes
    ----------
    lines : tuple of Line
        The request's own lines, in order of time.
    context : tuple of Line
        What the same hosts learnt shortly before, and of the endpoints it was sent to.
    """

    request_id: str
    lines: tuple[Line, ...]
    context: tuple[Line, ...]

    @property
    def end(self) -> Line | None:
        """The line that tells what its caller got; None where no line tells."""
        ends = [line for line in self.lines if line.event in FINAL_EVENTS]
        return ends[-1] if ends else None

    @property
    def restart(self) -> Line | None:
        """The line with which its host started anew after the request's last one."""
        after = [
            line
            for line in self.context
            if line.event == RESTART and self.lines and line.at > self.lines[-1].at
        ]
        return after[0] if after else None


def read_log_lines(paths: Iterable[str]) -> Iterator[Line]:
    """Read log lines from files, or from standard input for ``-``.

    Whatever stands before the line, such as a collector's time and name, is passed
    over, and so is what is no line of a host.
    """
    for path in paths:
        if path == STANDARD_INPUT:
            yield from _decode_lines(sys.stdin)
            continue
        with Path(path).open(errors="replace") as file:
            yield from _decode_lines(file)


def build_timeline(request_id: str, lines: Iterable[Line]) -> Story:
    """Pick what concerns one request out of all lines."""
    kept = [line for line in lines if _may_concern(line, request_id)]
    kept.sort(key=lambda line: line.at)
    own = [line for line in kept if line.fields.get("request") == request_id]
    if not own:
        return Story(request_id, (), ())
    hosts = {line.host for line in own}
    endpoints = {line.fields["endpoint"] for line in own if "endpoint" in line.fields}
    first = own[0].at - timedelta(seconds=BEFORE_S)
    last = own[-1].at + timedelta(seconds=AFTER_S)
    context = [
        line
        for line in kept
        if line.host in hosts
        and first <= line.at <= (last if line.event == RESTART else own[-1].at)
        and (line.event in BELIEFS or _concerns(line, endpoints))
    ]
    return Story(request_id, tuple(own), tuple(context))


def render_story(story: Story) -> str:
    """Write a story for people."""
    rows = [f"request {story.request_id}: {_outcome_of(story)}"]
    for line in story.lines:
        rows.append(f"  {_render_line(line)}")
    if story.context:
        rows.append(f"what its hosts learnt from {BEFORE_S:.0f} s before:")
        rows += [f"  {_render_line(line)}" for line in story.context]
    return "\n".join(rows)


def _outcome_of(story: Story) -> str:
    if story.end is not None:
        return f"{story.end.event}: {story.end.text}"
    if story.restart is not None:
        return f"{story.restart.host} ended without a word, and started anew"
    return "no line tells how it ended"


def encode_story(story: Story) -> str:
    """Write a story as JSON."""

    def encode(line: Line) -> dict[str, Any]:
        return {"at": line.at.isoformat(), "host": line.host, "event": line.event, **line.fields}

    whole = {
        "request": story.request_id,
        "lines": [encode(line) for line in story.lines],
        "context": [encode(line) for line in story.context],
    }
    return json.dumps(whole, indent=2)


def _decode_lines(texts: Iterable[str]) -> Iterator[Line]:
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
            at = datetime.strptime(raw["asctime"], TIME_FORMAT)
            fields = {name: value for name, value in raw.items() if name not in SHOWN_APART}
            if "request" in raw:
                fields["request"] = raw["request"]
            yield Line(at, raw["host"], raw["event"], raw["message"], fields)
        except (ValueError, KeyError, TypeError):
            continue


def _may_concern(line: Line, request_id: str) -> bool:
    is_own = line.fields.get("request") == request_id
    return is_own or line.event in BELIEFS or line.event in ENDPOINT_EVENTS


def _concerns(line: Line, endpoints: set[str]) -> bool:
    if line.event not in ENDPOINT_EVENTS:
        return False
    named = {line.fields.get("endpoint"), *line.fields.get("endpoints", ())}
    return bool(named & endpoints)


def _render_line(line: Line) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if name != "request")
    return f"{line.at:%H:%M:%S.%f} {line.host} {line.text} {fields}"
