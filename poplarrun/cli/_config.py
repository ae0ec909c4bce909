"""``poplarrun config``: check, publish and show the operators' document."""

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
    EXIT_SILENT,
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
from poplarrun.log import (
    AppendRefused,
    AppendUnknown,
    Entry,
    Log,
    ReadFailed,
    append_until_known,
)

APPEND_ATTEMPTS = 5
DocumentFile = Annotated[Path, cappa.Arg(help="The operators' document, YAML.")]
WAIT_BOUND_S = 15.0
WAIT_POLL_S = 0.1


def read_configuration(log: Log) -> FoldedStream:
    """Fold the whole configuration stream."""
    match fold_stream(log):
        case ReadFailed(reason=reason):
            raise cappa.Exit(f"the log did not answer: {reason}", code=EXIT_FAILED)
        case FoldedStream() as folded:
            return folded


def read_valid(path: Path) -> str:
    """Read a document; exit with every fault when it has any."""
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
    """Check a document; list every fault."""

    file: DocumentFile

    def __call__(self) -> None:
        """Check the file."""
        read_valid(self.file)
        print(f"{self.file}: valid")


@dataclass
class Publish:
    """Publish a document; it is accepted unless another operator was first."""

    file: DocumentFile
    log: LogAddress
    based_on: Annotated[
        int | None,
        cappa.Arg(long=True, help="Offset that it was edited from; default the accepted one."),
    ] = None
    wait: Annotated[
        bool, cappa.Arg(long=True, help="Wait until it is in force in every zone, telling each.")
    ] = False
    hosts: HostAddresses = field(default_factory=list)
    operator: Annotated[
        str | None, cappa.Arg(long=True, help="Name for the audit; default the user's.")
    ] = None
    key_file: Annotated[
        Path | None, cappa.Arg(long=True, help="File with the operator's key; signs the record.")
    ] = None

    def __call__(self) -> None:
        """Publish the file and tell what became of it."""
        if self.wait and not self.hosts:
            raise cappa.Exit("--wait needs --hosts: some hosts to ask", code=EXIT_INVALID)
        text = read_valid(self.file)
        log = HttpLog(self.log)
        state = read_configuration(log).state
        based_on = state.offset if self.based_on is None else self.based_on
        operator = self.operator or getpass.getuser()
        record = Publication(uuid.uuid4().hex, based_on, operator, time.time(), text)
        self._append(log, record)
        offset = self._tell_verdict(log, record)
        if self.wait:
            wait_in_force(self.hosts, offset)

    def _append(self, log: Log, record: Publication) -> None:
        def find() -> int | None:
            return _find_record(log, record.id)

        data = self._encode(record)
        outcome = append_until_known(log, CONFIG_STREAM, data, find, APPEND_ATTEMPTS)
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

    def _tell_verdict(self, log: Log, record: Publication) -> int:
        folded = read_configuration(log)
        state, history = folded.state, folded.history
        for entry, verdict in history:
            found = decode_signed_record(entry.data)
            if found is None or isinstance(found, Unsigned) or found.id != record.id:
                continue
            match verdict:
                case Accepted(offset=offset):
                    print(f"accepted at offset {offset}", flush=True)
                    return offset
                case Conflict(based_on=based_on, accepted=accepted):
                    message = _tell_conflict(based_on, accepted, record.document, state.text)
                    raise cappa.Exit(message, code=EXIT_CONFLICT)
                case Invalid() | Ignored() | Refused():
                    raise cappa.Exit(f"refused: {verdict}", code=EXIT_FAILED)
        raise cappa.Exit("the record is not seen yet; see config history", code=EXIT_FAILED)


@dataclass
class Show:
    """Show the accepted document, or the one of an offset."""

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
                f"offset {state.offset}; publish an edited one with --based-on {state.offset}",
                file=sys.stderr,
            )
            return
        print(_text_at(history, self.offset), end="")


@dataclass
class History:
    """List the publications and what became of each."""

    log: LogAddress
    json: AsJson = False

    def __call__(self) -> None:
        """Print a line for each record."""
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
    """Show the difference between the documents of two offsets."""

    a: Annotated[int, cappa.Arg(help="Offset of the older publication.")]
    b: Annotated[int, cappa.Arg(help="Offset of the newer publication.")]
    log: LogAddress

    def __call__(self) -> None:
        """Print a unified difference."""
        history = read_configuration(HttpLog(self.log)).history
        before, after = _text_at(history, self.a), _text_at(history, self.b)
        names = (f"offset {self.a}", f"offset {self.b}")
        lines = difflib.unified_diff(before.splitlines(), after.splitlines(), *names, lineterm="")
        print("\n".join(lines))


@dataclass
class Config:
    """Check, publish and show the operators' document."""

    command: cappa.Subcommands[Check | Publish | Show | History | Diff]


def wait_in_force(hosts: list[str], offset: int, bound_s: float = WAIT_BOUND_S) -> None:
    """Tell each zone as the offset takes effect there; exit with 4 when one stays silent."""
    began = time.monotonic()
    told: set[str] = set()
    while True:
        view = fetch_fleet_view(hosts)
        zones = view.zones()
        for zone in zones:
            if zone.zone not in told and zone.offset is not None and zone.offset >= offset:
                told.add(zone.zone)
                took_s = time.monotonic() - began
                print(f"zone {zone.zone}: in force after {took_s:.2f} s", flush=True)
        if zones and not view.silent and told >= {zone.zone for zone in zones}:
            return
        if time.monotonic() > began + bound_s:
            break
        time.sleep(WAIT_POLL_S)
    left = [f"zone {zone.zone}: {_tell_left(zone)}" for zone in zones if zone.zone not in told]
    left += [f"host {silent}" for silent in view.silent]
    raise cappa.Exit("\n".join(left), code=EXIT_SILENT)


def _tell_conflict(based_on: int, accepted: int, own: str, theirs: str) -> str:
    names = ("yours", f"accepted at offset {accepted}")
    lines = [
        f"conflict: based on {based_on}, accepted is {accepted}; nothing of yours is in force",
        *difflib.unified_diff(own.splitlines(), theirs.splitlines(), *names, lineterm=""),
        f"make your change in the accepted document (config show), publish with --based-on "
        f"{accepted}",
    ]
    return "\n".join(lines)


def _tell_left(zone: ZoneView) -> str:
    return "silent" if zone.silent else f"still at offset {zone.offset}"


def _find_record(log: Log, record_id: str) -> int | None:
    history = read_configuration(log).history
    for entry, _verdict in history:
        record = decode_signed_record(entry.data)
        if record is not None and not isinstance(record, Unsigned) and record.id == record_id:
            return entry.offset
    return None


def _text_at(history: list[tuple[Entry, Verdict]], offset: int) -> str:
    for entry, _verdict in history:
        record = decode_signed_record(entry.data)
        if entry.offset == offset and isinstance(record, Publication):
            return record.document
    raise cappa.Exit(f"no publication at offset {offset}", code=EXIT_FAILED)
