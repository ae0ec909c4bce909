"""What operators promise: classes, client accounts, versions and services."""

from poplarrun.contracts._document import (
    ClientAccount,
    Document,
    Limits,
    Operation,
    Price,
    Service,
    Stage,
    Targets,
    Unmet,
    Version,
    VersionId,
    WithoutKey,
    WorkClass,
)
from poplarrun.contracts._keys import hash_key, matches_key
from poplarrun.contracts._validation import DocumentProblems, Problem, parse_document

__all__ = [
    "ClientAccount",
    "Document",
    "DocumentProblems",
    "Limits",
    "Operation",
    "Price",
    "Problem",
    "Service",
    "Stage",
    "Targets",
    "Unmet",
    "Version",
    "VersionId",
    "WithoutKey",
    "WorkClass",
    "hash_key",
    "matches_key",
    "parse_document",
]
