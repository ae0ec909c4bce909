"""Where callers lost, told by the log lines of several hosts.

Each request that ended other than with a good answer in time counts once, under the first
cause that applies: refused, broken off, left, failed at its endpoint, late, poor.
"""

import dataclasses
import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import cappa

from poplarrun.cli._arguments import EXIT_INVALID, AsJson
from poplarrun.cli._timeline import RESTART, Line, read_log_lines
from poplarrun.sizes import MIDPOINT_CONFIDENCE

BAR_WIDTH = 40
FAILURES = 400


@dataclass(frozen=True, slots=True)
class Loss:
    """What one request's caller lost.

    Attributes
    ----------
    cause : str
        What the caller saw, and what led there.
    route, zone : str
        Kind of request, and availability zone of the host; empty where no line tells.
    second : int
        When it came, from the first line of all.
    """

    request_id: str
    cause: str
    route: str
    zone: str
    second: int


@dataclass(frozen=True, slots=True)
class Losses:
    """All requests of some logs.

    Attributes
    ----------
    asked : Counter of str
        Requests by route.
    """

    asked: Counter[str]
    found: tuple[Loss, ...]


def find_losses(lines: Iterable[Line]) -> Losses:
    """Read the end of each request, and why it was not a good answer in time."""
    zones: dict[str, str] = {}
    by_request: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if line.event == RESTART:
            zones[line.host] = str(line.fields.get("zone", ""))
        request_id = line.fields.get("request")
        if request_id:
            by_request[request_id].append(line)
    starts = [own[0].at for own in by_request.values()]
    begun_at = min(starts, default=None)
    asked: Counter[str] = Counter()
    found = []
    for request_id, own in by_request.items():
        route = next((str(x.fields["route"]) for x in own if x.fields.get("route")), "")
        asked[route] += 1
        cause = _cause_of(own)
        if cause is not None and begun_at is not None:
            second = int((own[0].at - begun_at).total_seconds())
            found.append(Loss(request_id, cause, route, zones.get(own[0].host, ""), second))
    return Losses(asked, tuple(found))


def _cause_of(own: list[Line]) -> str | None:
    end = own[-1]
    failures = [str(line.fields["failure"]) for line in own if line.event == "SendFailed"]
    match end.event:
        case "RequestRefused":
            return f"refused: {end.fields['kind']}, {end.fields['reason']}"
        case "AnswerBroken":
            return f"broken off: {failures[-1] if failures else end.fields['kind']}"
        case "CallerLeft":
            return f"left: {_awaited(own, failures)}"
        case "RequestAnswered" if end.fields["status"] >= FAILURES:
            return f"failed at its endpoint: {end.fields['status']}"
        case "RequestAnswered":
            return _cause_of_answer(own, failures)
        case _:
            return "no line tells its end"


def _cause_of_answer(own: list[Line], failures: list[str]) -> str | None:
    fields = own[-1].fields
    first_s = fields.get("first_s")
    if first_s is None:
        return None
    if first_s > fields["target_s"] > 0.0:
        return f"late: {_awaited(own, failures)}"
    if fields["pause_s"] > fields["most_pause_s"] > 0.0:
        return f"pause: {_awaited(own, failures)}"
    confidence = fields.get("confidence")
    if confidence is not None and confidence < MIDPOINT_CONFIDENCE:
        return "poor: kept although the model doubts it"
    return None


def _awaited(own: list[Line], failures: list[str]) -> str:
    """Tell what took the time of a request."""
    if failures:
        return f"after a send failed ({failures[0]})"
    if any(line.event == "LargerModelAsked" for line in own):
        return "after a larger model was asked"
    if any(line.event == "RequestSent" for line in own):
        return "by its first endpoint"
    return "before any send"


def _tabulate(title: str, found: Iterable[Loss], key: Callable[[Loss], str]) -> list[str]:
    counts = Counter(key(loss) for loss in found)
    rows = [f"{title:60}  REQUESTS"]
    rows += [f"{name or '-':60}  {count:8}" for name, count in counts.most_common()]
    return rows


def _plot_seconds(found: Iterable[Loss]) -> list[str]:
    counts = Counter(loss.second for loss in found)
    most = max(counts.values(), default=1)
    rows = ["SECOND  LOST"]
    for second in range(max(counts, default=-1) + 1):
        count = counts[second]
        rows.append(f"{second:6}  {count:4}  {'#' * round(BAR_WIDTH * count / most)}".rstrip())
    return rows


def render_losses(losses: Losses) -> str:
    """Write the losses as tables and a plot over time, for people."""
    found = losses.found
    rows = [f"{losses.asked.total()} requests, {len(found)} lost"]
    rows += ["", *_tabulate("CAUSE", found, lambda loss: loss.cause)]
    rows += ["", *_tabulate("ROUTE, CAUSE", found, lambda loss: f"{loss.route}  {loss.cause}")]
    rows += ["", *_tabulate("ZONE", found, lambda loss: loss.zone)]
    rows += ["", *_plot_seconds(found)]
    return "\n".join(rows)


@cappa.command(
    name="losses",
    help="Where callers got no good answer in time, by cause, route, zone and second.",
)
@dataclass
class ShowLosses:
    """Read log lines and print what was lost."""

    logs: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Files of log lines, - for standard input.")
    ]
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print the tables, or each loss as a line of JSON."""
        try:
            losses = find_losses(read_log_lines(self.logs))
        except OSError as error:
            raise cappa.Exit(f"logs: {error}", code=EXIT_INVALID) from error
        if not self.as_json:
            print(render_losses(losses))
            return
        for loss in losses.found:
            print(json.dumps(dataclasses.asdict(loss)))
