"""``poplarrun where``: where a request would go now and why, without sending it."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec
import urllib3
import yaml

from poplarrun.cli._arguments import EXIT_FAILED, EXIT_INVALID, AsJson, parse_host_address
from poplarrun.cli._http import make_url
from poplarrun.cli._status import render_table
from poplarrun.gateway import WHERE_PATH, Explanation, PlannedRequest
from poplarrun.platform import InvalidDocument, validate

REQUEST_TIMEOUT_S = 5.0
OK = 200
BAD_REQUEST = 400
MILLISECONDS_PER_S = 1000.0


def parse_parts(texts: list[str]) -> list[dict[str, Any]]:
    """Split each ``KEY:TOKENS``; a key may contain colons."""
    parts = []
    for text in texts:
        key, separator, tokens = text.rpartition(":")
        if not separator or not tokens.isascii() or not tokens.isdigit():
            message = f"--part: found {text!r}, expected KEY:TOKENS such as manual:6300"
            raise cappa.Exit(message, code=EXIT_INVALID)
        parts.append({"key": key, "tokens": int(tokens)})
    return parts


@dataclass
class Where:
    """Show where a request would go now and why, without sending it."""

    host: Annotated[
        str,
        cappa.Arg(
            long="--host",
            parse=parse_host_address,
            help="ip:port at which a gateway host serves readiness or metrics.",
        ),
    ]
    file: Annotated[
        Path | None,
        cappa.Arg(long=True, help="YAML or JSON file with the request; options take precedence."),
    ] = None
    domain: Annotated[str | None, cappa.Arg(long=True, help="Host header of the request.")] = None
    path: Annotated[str | None, cappa.Arg(long=True, help="Its path.")] = None
    key_file: Annotated[
        Path | None, cappa.Arg(long=True, help="File with the API key; - for standard input.")
    ] = None
    model: Annotated[
        str | None, cappa.Arg(long=True, help="The model that it names; * for the route's.")
    ] = None
    session: Annotated[str | None, cappa.Arg(long=True, help="Session id.")] = None
    part: Annotated[
        list[str],
        cappa.Arg(
            long="--part",
            num_args=1,
            action=cappa.ArgAction.append,
            help="KEY:TOKENS of a part of the prompt, once for each, in order.",
        ),
    ] = field(default_factory=list)
    prompt_tokens: Annotated[
        int | None, cappa.Arg(long=True, help="Length of the prompt; at least its parts'.")
    ] = None
    max_tokens: Annotated[int | None, cappa.Arg(long=True, help="Longest answer.")] = None
    body_bytes: Annotated[int | None, cappa.Arg(long=True, help="Size of the body.")] = None
    deadline_ms: Annotated[
        int | None, cappa.Arg(long=True, help="Time until the caller's deadline.")
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Ask the host, and print its explanation."""
        document = self._read_file() | self._collect_options()
        try:
            planned = validate(PlannedRequest, document)
        except InvalidDocument as error:
            raise cappa.Exit(f"invalid request: {error}", code=EXIT_INVALID) from error
        data = self._ask(planned)
        try:
            explanation = msgspec.json.decode(data, type=Explanation)
        except msgspec.DecodeError as error:
            message = f"{self.host}: the answer is no explanation; is this a gateway host?"
            raise cappa.Exit(message, code=EXIT_FAILED) from error
        if self.json:
            print(msgspec.json.format(data).decode())
        else:
            print(render_explanation(explanation))
        if explanation.refused_by:
            raise cappa.Exit(code=EXIT_FAILED)

    def _read_file(self) -> dict[str, Any]:
        if self.file is None:
            return {}
        try:
            document = yaml.safe_load(self.file.read_text())
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
            raise cappa.Exit(f"cannot read {self.file}: {error}", code=EXIT_INVALID) from error
        if not isinstance(document, dict):
            raise cappa.Exit(f"{self.file}: document: expected fields", code=EXIT_INVALID)
        return document

    def _collect_options(self) -> dict[str, Any]:
        options = {
            "host": self.domain,
            "path": self.path,
            "api_key": self._read_key(),
            "model": self.model,
            "session": self.session,
            "parts": parse_parts(self.part) or None,
            "prompt_tokens": self.prompt_tokens,
            "max_tokens": self.max_tokens,
            "body_bytes": self.body_bytes,
            "deadline_ms": self.deadline_ms,
        }
        return {name: value for name, value in options.items() if value is not None}

    def _read_key(self) -> str | None:
        """Return the API key, which other users of a machine would see among the options."""
        if self.key_file is None:
            return None
        path = Path("/dev/stdin") if str(self.key_file) == "-" else self.key_file
        try:
            return path.read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise cappa.Exit(f"cannot read {path}: {error}", code=EXIT_INVALID) from error

    def _ask(self, planned: PlannedRequest) -> bytes:
        try:
            response = urllib3.request(
                "POST",
                make_url(self.host, WHERE_PATH),
                body=msgspec.json.encode(planned),
                timeout=REQUEST_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            message = f"{self.host}: no answer ({type(error).__name__})"
            raise cappa.Exit(message, code=EXIT_FAILED) from error
        if response.status == BAD_REQUEST:
            message = f"{self.host}: invalid request: {response.data.decode(errors='replace')}"
            raise cappa.Exit(message, code=EXIT_INVALID)
        if response.status != OK:
            raise cappa.Exit(f"{self.host}: answered {response.status}", code=EXIT_FAILED)
        return response.data


def render_explanation(explanation: Explanation) -> str:
    """Return an explanation as tables for people."""
    blocks = ["\n".join(_summarise(explanation))]
    tables = [_candidate_rows(explanation), _excluded_rows(explanation)]
    blocks += [render_table(rows) for rows in tables if len(rows) > 1]
    return "\n\n".join(blocks)


def _summarise(explanation: Explanation) -> list[str]:
    lines = []
    if explanation.refused_by:
        retry_s = explanation.retry_after_s
        later = "" if retry_s is None else f"; retry after {retry_s:.2f} s"
        lines.append(f"refused: {explanation.refused_by}: {explanation.detail}{later}")
    else:
        reason = explanation.version_reason
        lines.append(f"sent to: {explanation.endpoint} (version: {reason})")
    if explanation.route:
        account = explanation.account or "none"
        target = _format_time(explanation.target_s)
        lines.append(
            f"route: {explanation.route}, service {explanation.service}, account {account}, "
            f"target {target}"
        )
    if explanation.asked_zone:
        lines.append(f"asks first: a host of the zone {explanation.asked_zone}, for an endpoint")
    if explanation.model:
        lines.append(f"first model: {explanation.model}")
    escalation = explanation.escalation
    if escalation is not None and escalation.below_confidence is None:
        lines.append(f"then {escalation.model}: not asked, {escalation.obstacle}")
    elif escalation is not None:
        lines.append(
            f"then {escalation.model}: below a confidence of {escalation.below_confidence:.3f}, "
            f"at {escalation.endpoint} (expected {_format_time(escalation.expected_s)}, "
            f"queue {_format_time(escalation.queue_s)})"
        )
    return lines


def _candidate_rows(explanation: Explanation) -> list[list[str]]:
    names = "ENDPOINT,ZONE,VERSION,TOTAL,EXPECTED,QUEUE,LOAD,CACHED,SAVED,OTHER ZONE,FAILED ZONE"
    rows = [[*names.split(","), "RELAY", ""]]
    for each in explanation.candidates:
        times = (each.total_s, each.expected_s, each.queue_s)
        penalties = (each.saved_s, each.other_zone_s, each.failed_zone_s, each.relay_s)
        rows.append(
            [each.endpoint, each.zone, each.version]
            + [_format_time(seconds) for seconds in times]
            + [f"{each.load:.2f}", str(each.cached_tokens)]
            + [_format_time(seconds) for seconds in penalties]
            + ["chosen" if each.is_chosen else ""]
        )
    return rows


def _excluded_rows(explanation: Explanation) -> list[list[str]]:
    rows = [["NOT COMPARED", "ZONE", "VERSION", "BECAUSE"]]
    return rows + [[e.endpoint, e.zone, e.version, e.reason] for e in explanation.excluded]


def _format_time(seconds: float) -> str:
    return f"{seconds * MILLISECONDS_PER_S:.0f} ms"
