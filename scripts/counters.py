"""Compares the counter names in the code with those on the operators' page."""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from poplarrun.errors import ErrorKind

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "poplarrun"
PAGE = ROOT / "docs" / "operating" / "counters.md"
COUNTING_FUNCTIONS = ("count_event", "count_retry", "_count")
# Calls that create an outcome whose reason is counted elsewhere, with the prefix of the
# counter's name there.
OUTCOME_PREFIXES = {
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
# Arguments that pass on such a reason, or a refusal's kind.
FORWARDED_ARGUMENTS = ("reason", "failure.reason", "kind")
_FIRST_CELL = re.compile(r"^\| *((?:`[^`]+`(?:, )?)+) *\|", re.MULTILINE)


@dataclass
class Counters:
    """Counter names found in the code.

    Attributes
    ----------
    names : set of str
        Complete names.
    prefixes : set of str
        Prefixes of names whose rest is only known at run time.
    unresolved : list of str
        Locations of names that can't be determined from the code.
    """

    names: set[str] = field(default_factory=set)
    prefixes: set[str] = field(default_factory=set)
    unresolved: list[str] = field(default_factory=list)


def find_counters(package: Path = PACKAGE) -> Counters:
    """Find the names of refusals, retries and events that the package can count."""
    found = Counters({kind.value for kind in ErrorKind})
    for path in sorted(package.rglob("*.py")):
        tree = ast.parse(path.read_text())
        constants = dict(_list_constants(tree))
        for call in (node for node in ast.walk(tree) if isinstance(node, ast.Call)):
            name = ast.unparse(call.func).rpartition(".")[2]
            if name in COUNTING_FUNCTIONS and call.args:
                _add_name(found, call.args[0], constants, f"{path.name}:{call.lineno}")
            elif name in OUTCOME_PREFIXES:
                _add_reasons(found, call, OUTCOME_PREFIXES[name])
    return found


def list_explained() -> set[str]:
    """Read the names in the first column of the page's tables."""
    cells = _FIRST_CELL.findall(PAGE.read_text())
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


def compare(found: Counters, explained: set[str]) -> tuple[list[str], list[str]]:
    """Return the names missing from the page, and the names on the page that the code lacks."""
    missing = sorted(found.names - explained)
    for prefix in sorted(found.prefixes):
        if not any(name.startswith(prefix) for name in explained):
            missing.append(f"{prefix}*")
    prefixes = tuple(found.prefixes)
    unknown = sorted(n for n in explained - found.names if not n.startswith(prefixes))
    return missing, unknown


def _add_name(found: Counters, node: ast.expr, constants: dict[str, str], location: str) -> None:
    match node:
        case ast.Constant(value=str(name)):
            found.names.add(name)
        case ast.IfExp(body=body, orelse=orelse):
            _add_name(found, body, constants, location)
            _add_name(found, orelse, constants, location)
        case ast.JoinedStr(values=[ast.Constant(value=str(prefix)), *_]):
            found.prefixes.add(prefix)
        case ast.Name(id=name) if name in constants:
            found.names.add(constants[name])
        case _ if ast.unparse(node) in FORWARDED_ARGUMENTS or "ErrorKind." in ast.unparse(node):
            return
        case _:
            found.unresolved.append(f"{location}: {ast.unparse(node)}")


def _add_reasons(found: Counters, call: ast.Call, prefix: str) -> None:
    for node in [*call.args, *(keyword.value for keyword in call.keywords)]:
        match node:
            case ast.Constant(value=str(reason)):
                found.names.add(prefix + re.sub("[ -]", "_", reason))
            case ast.JoinedStr(values=[ast.Constant(value=str(start)), *_]):
                found.prefixes.add(prefix + start)


def _list_constants(tree: ast.Module) -> Iterator[tuple[str, str]]:
    for node in tree.body:
        match node:
            case ast.Assign(targets=[ast.Name(id=name)], value=ast.Constant(value=str(text))):
                yield name, text
