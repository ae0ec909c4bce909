"""The operators' document: classes, client accounts, versions and services."""

from poplarrun.contracts._document import (
    AccountLimitSettings,
    ClientAccount,
    Document,
    MissingKeyPolicy,
    Operation,
    Price,
    Service,
    Targets,
    UnmetTargetsPolicy,
    Version,
    VersionId,
    VersionStage,
    WorkClass,
)
from poplarrun.contracts._keys import hash_key, matches_key
from poplarrun.contracts._validation import DocumentProblem, DocumentProblems, parse_document

__all__ = [
    "AccountLimitSettings",
    "ClientAccount",
    "Document",
    "DocumentProblem",
    "DocumentProblems",
    "MissingKeyPolicy",
    "Operation",
    "Price",
    "Service",
    "Targets",
    "UnmetTargetsPolicy",
    "Version",
    "VersionId",
    "VersionStage",
    "WorkClass",
    "hash_key",
    "matches_key",
    "parse_document",
]
