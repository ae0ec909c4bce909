"""The counters that the code can emit, and those that the operators' page explains."""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from poplarrun.errors import ErrorKind

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "poplarrun"
PAGE = ROOT / "docs" / "operating" / "counters.md"
COUNTING = ("count_event", "count_retry", "_count")
# What makes an outcome whose reason is counted elsewhere, and the name's beginning there.
REASONED = {
    "EngineFailed": "",
    "CallFailed": "",
    "ServiceNotSent": "",
    "ServiceOutcomeUnknown": "",
    "Unreadable": "",
    "_silent": "peer_silent_",
    "_chosen": "choice_",
    "Chosen": "choice_",
    "Single": "choice_",
}
# Arguments that hand on such a reason, or a refusal's kind.
HANDED_ON = ("reason", "failure.reason", "kind")
_FIRST_CELL = re.compile(r"^\| *((?:`[^`]+`(?:, )?)+) *\|", re.MULTILINE)


@dataclass
class Counters:
    """The names found in the code.

    Attributes
    ----------
    names : set of str
        Whole names.
    beginnings : set of str
        Beginnings of names whose rest is known at run time only.
    unclear : list of str
        Places where a name can't be told from the code.
    """

    names: set[str] = field(default_factory=set)
    beginnings: set[str] = field(default_factory=set)
    unclear: list[str] = field(default_factory=list)


def find_counters(package: Path = PACKAGE) -> Counters:
    """Read the refusals, retries and events that the package can count."""
    found = Counters({kind.value for kind in ErrorKind})
    for path in sorted(package.rglob("*.py")):
        tree = ast.parse(path.read_text())
        constants = dict(_list_constants(tree))
        for call in (node for node in ast.walk(tree) if isinstance(node, ast.Call)):
            name = ast.unparse(call.func).rpartition(".")[2]
            if name in COUNTING and call.args:
                _take(found, call.args[0], constants, f"{path.name}:{call.lineno}")
            elif name in REASONED:
                _take_reasons(found, call, REASONED[name])
    return found


def list_explained() -> set[str]:
    """Read the names in the first column of the page's tables."""
    cells = _FIRST_CELL.findall(PAGE.read_text())
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


def compare(found: Counters, explained: set[str]) -> tuple[list[str], list[str]]:
    """Return what the page lacks, and what it names and the code does not."""
    lacking = sorted(found.names - explained)
    for beginning in sorted(found.beginnings):
        if not any(name.startswith(beginning) for name in explained):
            lacking.append(f"{beginning}*")
    begun = tuple(found.beginnings)
    unknown = sorted(n for n in explained - found.names if not n.startswith(begun))
    return lacking, unknown


def _take(found: Counters, told: ast.expr, constants: dict[str, str], where: str) -> None:
    match told:
        case ast.Constant(value=str(name)):
            found.names.add(name)
        case ast.IfExp(body=body, orelse=orelse):
            _take(found, body, constants, where)
            _take(found, orelse, constants, where)
        case ast.JoinedStr(values=[ast.Constant(value=str(beginning)), *_]):
            found.beginnings.add(beginning)
        case ast.Name(id=name) if name in constants:
            found.names.add(constants[name])
        case _ if ast.unparse(told) in HANDED_ON or "ErrorKind." in ast.unparse(told):
            return
        case _:
            found.unclear.append(f"{where}: {ast.unparse(told)}")


def _take_reasons(found: Counters, call: ast.Call, beginning: str) -> None:
    for told in [*call.args, *(keyword.value for keyword in call.keywords)]:
        match told:
            case ast.Constant(value=str(reason)):
                found.names.add(beginning + re.sub("[ -]", "_", reason))
            case ast.JoinedStr(values=[ast.Constant(value=str(start)), *_]):
                found.beginnings.add(beginning + start)


def _list_constants(tree: ast.Module) -> Iterator[tuple[str, str]]:
    for node in tree.body:
        match node:
            case ast.Assign(targets=[ast.Name(id=name)], value=ast.Constant(value=str(text))):
                yield name, text
