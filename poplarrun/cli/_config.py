"""``poplarrun config``: checks, publishes and shows the configuration document."""

import difflib
import getpass
import json
import sys
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from poplarrun.cli._arguments import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_NO_RESPONSE,
    AsJson,
    HostAddresses,
    LogAddress,
    count_noun,
)
from poplarrun.cli._views import ZoneView, fetch_fleet_view
from poplarrun.clients import HttpLog
from poplarrun.config import (
    CONFIG_STREAM,
    Accepted,
    Conflict,
    FoldedStream,
    Ignored,
    Invalid,
    Publication,
    Refused,
    Unsigned,
    Verdict,
    decode_signed_record,
    encode_record,
    fold_stream,
    sign_record,
)
from poplarrun.contracts import DocumentProblems, parse_document
from poplarrun.log import AppendRefused, AppendUnknown, Entry, Log, ReadFailed, append_until_known

MAX_APPEND_ATTEMPTS = 5
DocumentFile = Annotated[Path, cappa.Arg(help="The operators' document, YAML.")]
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1


def read_configuration(log: Log) -> FoldedStream:
    """Read and fold the whole configuration stream; exit if the log fails."""
    match fold_stream(log):
        case ReadFailed(reason=reason):
            raise cappa.Exit(f"the log did not answer: {reason}", code=EXIT_FAILED)
        case FoldedStream() as folded:
            return folded


def read_valid_document(path: Path) -> str:
    """Read and validate a document; exit with a list of all problems if it has any."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise cappa.Exit(f"{path}: can't be read: {error}", code=EXIT_INVALID) from error
    match parse_document(text):
        case DocumentProblems(problems=problems):
            lines = "\n".join(str(problem) for problem in problems)
            count = count_noun(len(problems), "problem")
            raise cappa.Exit(f"{path}: {count}\n{lines}", code=EXIT_INVALID)
        case _:
            return text


@dataclass
class Check:
    """Validate a document and list all its problems."""

    file: DocumentFile

    def __call__(self) -> None:
        """Validate the file."""
        read_valid_document(self.file)
        print(f"{self.file}: valid")


@dataclass
class Publish:
    """Publish a document; it is accepted unless another operator published meanwhile."""

    file: DocumentFile
    log: LogAddress
    based_on: Annotated[
        int | None,
        cappa.Arg(
            long=True, help="Offset of the version it was edited from; default: the accepted one."
        ),
    ] = None
    wait: Annotated[
        bool, cappa.Arg(long=True, help="Wait until it is in force in every zone, and print each.")
    ] = False
    hosts: HostAddresses = field(default_factory=list)
    operator: Annotated[
        str | None, cappa.Arg(long=True, help="Operator's name for the audit; default: the user.")
    ] = None
    key_file: Annotated[
        Path | None, cappa.Arg(long=True, help="File with the operator's key; signs the record.")
    ] = None

    def __call__(self) -> None:
        """Publish the file and print whether it was accepted."""
        if self.wait and not self.hosts:
            raise cappa.Exit("--wait needs --hosts: the hosts to query", code=EXIT_INVALID)
        text = read_valid_document(self.file)
        log = HttpLog(self.log)
        state = read_configuration(log).state
        based_on = state.offset if self.based_on is None else self.based_on
        operator = self.operator or getpass.getuser()
        record = Publication(uuid.uuid4().hex, based_on, operator, time.time(), text)
        self._append(log, record)
        offset = self._report_verdict(log, record)
        if self.wait:
            wait_until_in_force(self.hosts, offset)

    def _append(self, log: Log, record: Publication) -> None:
        def find() -> int | None:
            return _find_record(log, record.id)

        data = self._encode(record)
        outcome = append_until_known(log, CONFIG_STREAM, data, find, MAX_APPEND_ATTEMPTS)
        match outcome:
            case AppendRefused(reason=reason):
                raise cappa.Exit(f"not published: {reason}", code=EXIT_FAILED)
            case AppendUnknown(reason=reason):
                raise cappa.Exit(f"outcome unknown: {reason}; see config history", code=EXIT_FAILED)
            case _:
                return

    def _encode(self, record: Publication) -> bytes:
        if self.key_file is None:
            return encode_record(record)
        try:
            key = self.key_file.read_text().strip().encode()
        except (OSError, UnicodeDecodeError) as error:
            message = f"{self.key_file}: can't be read: {error}"
            raise cappa.Exit(message, code=EXIT_INVALID) from error
        return sign_record(record, record.operator, key)

    def _report_verdict(self, log: Log, record: Publication) -> int:
        folded = read_configuration(log)
        state, history = folded.state, folded.history
        for entry, verdict in history:
            candidate = decode_signed_record(entry.data)
            if candidate is None or isinstance(candidate, Unsigned) or candidate.id != record.id:
                continue
            match verdict:
                case Accepted(offset=offset):
                    print(f"accepted at offset {offset}", flush=True)
                    return offset
                case Conflict(based_on=based_on, accepted=accepted):
                    message = _format_conflict(based_on, accepted, record.document, state.text)
                    raise cappa.Exit(message, code=EXIT_CONFLICT)
                case Invalid() | Ignored() | Refused():
                    raise cappa.Exit(f"refused: {verdict}", code=EXIT_FAILED)
        raise cappa.Exit("the record is not in the log yet; see config history", code=EXIT_FAILED)


@dataclass
class Show:
    """Show the accepted document, or the one published at an offset."""

    log: LogAddress
    offset: Annotated[
        int | None, cappa.Arg(long=True, help="Show this publication, not the accepted one.")
    ] = None

    def __call__(self) -> None:
        """Print the document."""
        folded = read_configuration(HttpLog(self.log))
        state, history = folded.state, folded.history
        if self.offset is None:
            print(state.text, end="")
            print(
                f"offset {state.offset}; publish an edited version with --based-on {state.offset}",
                file=sys.stderr,
            )
            return
        print(_document_at(history, self.offset), end="")


@dataclass
class History:
    """List all publications with their verdicts."""

    log: LogAddress
    json: AsJson = False

    def __call__(self) -> None:
        """Print one line per record."""
        history = read_configuration(HttpLog(self.log)).history
        for entry, verdict in history:
            record = decode_signed_record(entry.data)
            operator = record.operator if isinstance(record, Publication) else "system"
            name = type(verdict).__name__.lower()
            if self.json:
                print(json.dumps({"offset": entry.offset, "verdict": name, "operator": operator}))
            else:
                print(f"{entry.offset:>6}  {name:<9} {operator}")


@dataclass
class Diff:
    """Show the difference between the documents at two offsets."""

    a: Annotated[int, cappa.Arg(help="Offset of the older publication.")]
    b: Annotated[int, cappa.Arg(help="Offset of the newer publication.")]
    log: LogAddress

    def __call__(self) -> None:
        """Print a unified diff."""
        history = read_configuration(HttpLog(self.log)).history
        before, after = _document_at(history, self.a), _document_at(history, self.b)
        names = (f"offset {self.a}", f"offset {self.b}")
        lines = difflib.unified_diff(before.splitlines(), after.splitlines(), *names, lineterm="")
        print("\n".join(lines))


@dataclass
class Config:
    """Check, publish and show the configuration document."""

    command: cappa.Subcommands[Check | Publish | Show | History | Diff]


def wait_until_in_force(hosts: list[str], offset: int, timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Print each zone as the offset takes effect there.

    Exits with code 4 if, after the timeout, it is not in force in some zone or some host
    did not respond.
    """
    started_at = time.monotonic()
    done: set[str] = set()
    while True:
        view = fetch_fleet_view(hosts)
        zones = view.zones()
        for zone in zones:
            if zone.zone not in done and zone.offset is not None and zone.offset >= offset:
                done.add(zone.zone)
                took_s = time.monotonic() - started_at
                print(f"zone {zone.zone}: in force after {took_s:.2f} s", flush=True)
        if zones and not view.unavailable and done >= {zone.zone for zone in zones}:
            return
        if time.monotonic() > started_at + timeout_s:
            break
        time.sleep(POLL_INTERVAL_S)
    pending = [
        f"zone {zone.zone}: {_describe_pending_zone(zone)}"
        for zone in zones
        if zone.zone not in done
    ]
    pending += [f"host {unavailable}" for unavailable in view.unavailable]
    raise cappa.Exit("\n".join(pending), code=EXIT_NO_RESPONSE)


def _format_conflict(based_on: int, accepted: int, own: str, theirs: str) -> str:
    names = ("yours", f"accepted at offset {accepted}")
    lines = [
        f"conflict: based on offset {based_on}, but offset {accepted} has been accepted since; "
        "your document is not in force",
        *difflib.unified_diff(own.splitlines(), theirs.splitlines(), *names, lineterm=""),
        f"repeat your change in the accepted document (config show) and publish with --based-on "
        f"{accepted}",
    ]
    return "\n".join(lines)


def _describe_pending_zone(zone: ZoneView) -> str:
    return "silent" if zone.silent else f"still at offset {zone.offset}"


def _find_record(log: Log, record_id: str) -> int | None:
    history = read_configuration(log).history
    for entry, _verdict in history:
        record = decode_signed_record(entry.data)
        if record is not None and not isinstance(record, Unsigned) and record.id == record_id:
            return entry.offset
    return None


def _document_at(history: list[tuple[Entry, Verdict]], offset: int) -> str:
    for entry, _verdict in history:
        record = decode_signed_record(entry.data)
        if entry.offset == offset and isinstance(record, Publication):
            return record.document
    raise cappa.Exit(f"no publication at offset {offset}", code=EXIT_FAILED)
