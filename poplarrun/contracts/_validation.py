"""Validates the operators' YAML document and converts it to data classes."""

from dataclasses import dataclass
from typing import Annotated, Any, Literal

import yaml
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

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

MAX_DOCUMENT_BYTES = 1_000_000
MILLISECONDS_PER_SECOND = 1000.0
# Operators set targets only. Fields with these names are refused with a message of their own,
# because they would configure routes.
ROUTING_FIELDS = frozenset({"weight", "weights", "host", "hosts", "endpoint", "endpoints", "route"})

# The C loader where PyYAML has it: a publication is parsed on the event loop, and the Python loader
# blocked it for a tenth of a second with a hundred accounts.
_SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
KeyHash = Annotated[str, StringConstraints(pattern=r"^sha256:[0-9a-f]{64}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """One fault of a document: its path, the value found, and what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; {self.allowed}"


@dataclass(frozen=True, slots=True)
class DocumentProblems:
    """All faults of a document."""

    problems: tuple[DocumentProblem, ...]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _TargetsModel(_Model):
    quality: Annotated[float, Field(ge=0, le=1)]
    first_token_ms: Positive
    between_tokens_ms: Positive
    whole_s: Positive
    cost_per_request: Positive | None = None


class _ClassModel(_Model):
    importance: Annotated[int, Field(ge=1, le=9)]
    targets: _TargetsModel
    unmet: Literal["best-effort", "refuse"] = "best-effort"


class _PriceModel(_Model):
    input_per_mtok: NotNegative
    output_per_mtok: NotNegative


class _VersionModel(_Model):
    stage: Literal["offered", "withdrawn"]
    price: _PriceModel


class _ModelModel(_Model):
    versions: dict[Name, _VersionModel]


class _LimitsModel(_Model):
    requests_per_second: Positive | None = None
    tokens_per_minute: Positive | None = None
    concurrent_streams: Annotated[int, Field(gt=0)] | None = None
    spend_per_day: Positive | None = None


class _AccountModel(_Model):
    keys: list[KeyHash]
    classes: list[str] = []
    versions: list[str] = []
    services: list[str] = []
    limits: _LimitsModel = _LimitsModel()


class _OperationModel(_Model):
    idempotent: bool
    timeout_s: Positive = 10.0
    without_key: Literal["refuse", "send-once"] = "refuse"
    price: NotNegative = 0.0


class _ServiceModel(_Model):
    operations: dict[Name, _OperationModel]


class _DocumentModel(_Model):
    classes: dict[Name, _ClassModel] = {}
    models: dict[Name, _ModelModel] = {}
    accounts: dict[Name, _AccountModel] = {}
    services: dict[Name, _ServiceModel] = {}


def parse_document(text: str) -> Document | DocumentProblems:
    """Parse and validate a YAML document.

    Returns
    -------
    Document or DocumentProblems
        The document, or all faults found in it.
    """
    data = text.encode()
    if len(data) > MAX_DOCUMENT_BYTES:
        return _single_problem(
            f"{len(data)} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes are allowed"
        )
    try:
        raw = yaml.load(data, Loader=_SafeLoader)
    except yaml.YAMLError as error:
        return _single_problem(
            f"text that is not YAML ({error})".replace("\n", " "), "YAML is needed"
        )
    if not isinstance(raw, dict):
        return _single_problem(type(raw).__name__, "a mapping with classes, models, accounts, ...")
    try:
        model = _DocumentModel.model_validate(raw)
    except ValidationError as error:
        return DocumentProblems(tuple(_describe_error(raw, detail) for detail in error.errors()))
    problems = _find_shared_keys(model)
    if problems:
        return DocumentProblems(problems)
    return _build_document(model)


def _single_problem(found: str, allowed: str) -> DocumentProblems:
    return DocumentProblems((DocumentProblem("document", found, allowed),))


def _describe_error(raw: Any, detail: Any) -> DocumentProblem:
    path = ".".join(str(part) for part in detail["loc"] if part != "[key]")
    last = str(detail["loc"][-1])
    if detail["type"] == "extra_forbidden" and last in ROUTING_FIELDS:
        return DocumentProblem(
            path, repr(last), "operators set targets and permissions, never routes"
        )
    if detail["type"] == "extra_forbidden":
        return DocumentProblem(path, repr(last), "unknown field")
    if detail["type"] == "missing":
        return DocumentProblem(path, "nothing", "this field is required")
    found = detail["input"]
    shown = repr(found) if not isinstance(found, dict | list) else type(found).__name__
    return DocumentProblem(path, shown, detail["msg"])


def _find_shared_keys(model: _DocumentModel) -> tuple[DocumentProblem, ...]:
    """Find API keys that two client accounts share; a request with one would have two payers."""
    problems = []
    owner_by_hash: dict[str, str] = {}
    for name, account in model.accounts.items():
        for index, key_hash in enumerate(account.keys):
            owner = owner_by_hash.setdefault(key_hash, name)
            if owner != name:
                path = f"accounts.{name}.keys.{index}"
                problems.append(
                    DocumentProblem(
                        path, f"a key of {owner}", "a key belongs to one client account"
                    )
                )
    return tuple(problems)


def _build_document(model: _DocumentModel) -> Document:
    versions = [
        Version(
            VersionId(model_name, name), VersionStage(item.stage), Price(**item.price.model_dump())
        )
        for model_name, model_item in model.models.items()
        for name, item in model_item.versions.items()
    ]
    return Document(
        classes={name: _build_class(name, item) for name, item in model.classes.items()},
        versions={version.id: version for version in versions},
        accounts={name: _build_account(name, item) for name, item in model.accounts.items()},
        services={name: _build_service(name, item) for name, item in model.services.items()},
    )


def _build_class(name: str, item: _ClassModel) -> WorkClass:
    targets = Targets(
        quality=item.targets.quality,
        first_token_s=item.targets.first_token_ms / MILLISECONDS_PER_SECOND,
        between_tokens_s=item.targets.between_tokens_ms / MILLISECONDS_PER_SECOND,
        whole_s=item.targets.whole_s,
        cost_per_request=item.targets.cost_per_request,
    )
    return WorkClass(name, item.importance, targets, UnmetTargetsPolicy(item.unmet))


def _build_account(name: str, item: _AccountModel) -> ClientAccount:
    return ClientAccount(
        name=name,
        key_hashes=tuple(item.keys),
        classes=tuple(item.classes),
        versions=tuple(item.versions),
        services=tuple(item.services),
        limits=AccountLimitSettings(**item.limits.model_dump()),
    )


def _build_service(name: str, item: _ServiceModel) -> Service:
    operations = {
        operation_name: Operation(
            name=operation_name,
            idempotent=operation.idempotent,
            timeout_s=operation.timeout_s,
            without_key=MissingKeyPolicy(operation.without_key),
            price=operation.price,
        )
        for operation_name, operation in item.operations.items()
    }
    return Service(name, operations)
