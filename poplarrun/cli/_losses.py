"""``poplarrun losses``: requests without a good answer in time, from hosts' log lines.

Each such request counts as one loss, under the first cause that applies: refused, broken off,
left by its caller, failed at its endpoint, late, long pause, poor.
"""

import dataclasses
import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import cappa

from poplarrun.cli._arguments import EXIT_INVALID, AsJson
from poplarrun.cli._timeline import RESTART_EVENT, LogLine, read_log_lines
from poplarrun.sizes import MIDPOINT_CONFIDENCE

BAR_WIDTH = 40
MIN_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class Loss:
    """A request whose caller got no good answer in time.

    Attributes
    ----------
    cause : str
        What the caller saw, and what led to it.
    route, zone : str
        Route of the request, and availability zone of the host; empty if not logged.
    second : int
        Second of the request's first line, counted from the earliest line of any request.
    """

    request_id: str
    cause: str
    route: str
    zone: str
    second: int


@dataclass(frozen=True, slots=True)
class LossReport:
    """All losses that some logs show.

    Attributes
    ----------
    request_counts : Counter of str
        Requests by route, with or without a loss.
    losses : tuple of Loss
        The requests without a good answer in time.
    """

    request_counts: Counter[str]
    losses: tuple[Loss, ...]


def find_losses(lines: Iterable[LogLine]) -> LossReport:
    """Find the requests without a good answer in time, and their causes."""
    zones: dict[str, str] = {}
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.event == RESTART_EVENT:
            zones[line.host] = str(line.fields.get("zone", ""))
        request_id = line.fields.get("request")
        if request_id:
            by_request[request_id].append(line)
    starts = [request_lines[0].logged_at for request_lines in by_request.values()]
    first_start = min(starts, default=None)
    request_counts: Counter[str] = Counter()
    losses = []
    for request_id, request_lines in by_request.items():
        route = next(
            (str(entry.fields["route"]) for entry in request_lines if entry.fields.get("route")), ""
        )
        request_counts[route] += 1
        cause = _find_cause(request_lines)
        if cause is not None and first_start is not None:
            second = int((request_lines[0].logged_at - first_start).total_seconds())
            losses.append(
                Loss(request_id, cause, route, zones.get(request_lines[0].host, ""), second)
            )
    return LossReport(request_counts, tuple(losses))


def _find_cause(request_lines: list[LogLine]) -> str | None:
    end = request_lines[-1]
    failures = [str(line.fields["failure"]) for line in request_lines if line.event == "SendFailed"]
    match end.event:
        case "RequestRefused":
            return f"refused: {end.fields['kind']}, {end.fields['reason']}"
        case "AnswerBroken":
            return f"broken off: {failures[-1] if failures else end.fields['kind']}"
        case "CallerLeft":
            return f"left: {_describe_delay(request_lines, failures)}"
        case "RequestAnswered" if end.fields["status"] >= MIN_ERROR_STATUS:
            return f"failed at its endpoint: {end.fields['status']}"
        case "RequestAnswered":
            return _find_cause_of_answer(request_lines, failures)
        case _:
            return "no line tells its end"


def _find_cause_of_answer(request_lines: list[LogLine], failures: list[str]) -> str | None:
    fields = request_lines[-1].fields
    first_s = fields.get("first_s")
    if first_s is None:
        return None
    if first_s > fields["target_s"] > 0.0:
        return f"late: {_describe_delay(request_lines, failures)}"
    if fields["pause_s"] > fields["most_pause_s"] > 0.0:
        return f"pause: {_describe_delay(request_lines, failures)}"
    confidence = fields.get("confidence")
    if confidence is not None and confidence < MIDPOINT_CONFIDENCE:
        return "poor: kept although the model doubts it"
    return None


def _describe_delay(request_lines: list[LogLine], failures: list[str]) -> str:
    """Return what delayed a request."""
    if failures:
        return f"after a send failed ({failures[0]})"
    if any(line.fields.get("kept_from") for line in request_lines):
        return "away from an endpoint that asked this host to stay away"
    if any(line.event == "LargerModelAsked" for line in request_lines):
        return "after a larger model was asked"
    if any(line.event == "RequestSent" for line in request_lines):
        return "by its first endpoint"
    return "before any send"


def _tabulate(title: str, losses: Iterable[Loss], key: Callable[[Loss], str]) -> list[str]:
    counts = Counter(key(loss) for loss in losses)
    rows = [f"{title:60}  REQUESTS"]
    rows += [f"{name or '-':60}  {count:8}" for name, count in counts.most_common()]
    return rows


def _plot_by_second(losses: Iterable[Loss]) -> list[str]:
    counts = Counter(loss.second for loss in losses)
    max_count = max(counts.values(), default=1)
    rows = ["SECOND  LOST"]
    for second in range(max(counts, default=-1) + 1):
        count = counts[second]
        rows.append(f"{second:6}  {count:4}  {'#' * round(BAR_WIDTH * count / max_count)}".rstrip())
    return rows


def render_losses(report: LossReport) -> str:
    """Return the losses as tables and a plot over time, for people."""
    losses = report.losses
    rows = [f"{report.request_counts.total()} requests, {len(losses)} lost"]
    rows += ["", *_tabulate("CAUSE", losses, lambda loss: loss.cause)]
    rows += ["", *_tabulate("ROUTE, CAUSE", losses, lambda loss: f"{loss.route}  {loss.cause}")]
    rows += ["", *_tabulate("ZONE", losses, lambda loss: loss.zone)]
    rows += ["", *_plot_by_second(losses)]
    return "\n".join(rows)


@cappa.command(
    name="losses",
    help="Count requests without a good answer in time by cause, route, zone and second.",
)
@dataclass
class ShowLosses:
    """Read log lines and print the requests without a good answer in time."""

    logs: Annotated[
        list[str], cappa.Arg(num_args=-1, help="Log files of the hosts; - for standard input.")
    ]
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print the tables, or each loss as a line of JSON."""
        try:
            report = find_losses(read_log_lines(self.logs))
        except OSError as error:
            raise cappa.Exit(f"cannot read the logs: {error}", code=EXIT_INVALID) from error
        if not self.as_json:
            print(render_losses(report))
            return
        for loss in report.losses:
            print(json.dumps(dataclasses.asdict(loss)))
