"""The operators' document as data classes, valid by construction."""

import enum
import fnmatch
from dataclasses import dataclass, field
from functools import cached_property

from poplarrun.contracts._keys import hash_key

TOKENS_PER_PRICE_UNIT = 1_000_000


@dataclass(frozen=True, slots=True, order=True)
class VersionId:
    """A model and one of its versions, written ``model:version``."""

    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.model}:{self.version}"

    @classmethod
    def parse(cls, text: str) -> "VersionId":
        """Read the form that ``str`` gives.

        Raises
        ------
        ValueError
            When there is no colon.
        """
        model, colon, version = text.partition(":")
        if not colon:
            raise ValueError(f"a version is written model:version, found {text!r}")
        return cls(model, version)


class VersionStage(enum.Enum):
    """What operators ask for a version; the system runs the roll-out between."""

    OFFERED = "offered"
    WITHDRAWN = "withdrawn"


class UnmetTargetsPolicy(enum.Enum):
    """What a class wants when no allowed version meets its targets."""

    BEST_EFFORT = "best-effort"
    REFUSE = "refuse"


class MissingKeyPolicy(enum.Enum):
    """What a non-idempotent operation wants when it comes without a key."""

    REFUSE = "refuse"
    SEND_ONCE = "send-once"


@dataclass(frozen=True, slots=True)
class Price:
    """Price of a version, in account currency per million tokens."""

    input_per_mtok: float
    output_per_mtok: float

    def cost(self, input_tokens: float, output_tokens: float) -> float:
        """Return the cost of one call, in account currency."""
        total = input_tokens * self.input_per_mtok + output_tokens * self.output_per_mtok
        return total / TOKENS_PER_PRICE_UNIT


@dataclass(frozen=True, slots=True)
class Version:
    """One version of a model, as operators offer it."""

    id: VersionId
    stage: VersionStage
    price: Price


@dataclass(frozen=True, slots=True)
class Targets:
    """Targets of a class.

    Attributes
    ----------
    quality : float
        Mean rating that answers must reach, 0 to 1.
    first_token_s, between_tokens_s, whole_s : float
        Latency bounds in seconds that 95 in 100 requests must meet.
    cost_per_request : float, optional
        Mean cost that the class may reach, in account currency.
    """

    quality: float
    first_token_s: float
    between_tokens_s: float
    whole_s: float
    cost_per_request: float | None = None


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work: its targets, and its importance (9 is the highest)."""

    name: str
    importance: int
    targets: Targets
    unmet: UnmetTargetsPolicy


@dataclass(frozen=True, slots=True)
class AccountLimitSettings:
    """Limits of a client account over all hosts together; None is no limit."""

    requests_per_second: float | None = None
    tokens_per_minute: float | None = None
    concurrent_streams: int | None = None
    spend_per_day: float | None = None


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: who it is and what it may use.

    Attributes
    ----------
    key_hashes : tuple of str
        Hashes of the API keys that name the account.
    classes, versions, services : tuple of str
        Shell patterns of what is allowed: class names, ``model:version``,
        and ``service/operation``.
    """

    name: str
    key_hashes: tuple[str, ...]
    classes: tuple[str, ...]
    versions: tuple[str, ...]
    services: tuple[str, ...]
    limits: AccountLimitSettings

    def allows_class(self, name: str) -> bool:
        """Tell whether the account may send work of a class."""
        return _matches_any(name, self.classes)

    def allows_version(self, version: VersionId) -> bool:
        """Tell whether the account's requests may run on a version."""
        return _matches_any(str(version), self.versions)

    def allows_operation(self, service: str, operation: str) -> bool:
        """Tell whether the account may call an operation of a plain service."""
        return _matches_any(f"{service}/{operation}", self.services)


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of a plain service."""

    name: str
    idempotent: bool
    timeout_s: float
    without_key: MissingKeyPolicy
    price: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service beside the model engines."""

    name: str
    operations: dict[str, Operation]


@dataclass(frozen=True)
class Document:
    """A whole configuration: everything that operators may set."""

    classes: dict[str, WorkClass] = field(default_factory=dict)
    versions: dict[VersionId, Version] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)

    @cached_property
    def _account_by_key_hash(self) -> dict[str, ClientAccount]:
        return {
            key_hash: account
            for account in self.accounts.values()
            for key_hash in account.key_hashes
        }

    def account_for_key(self, key: str) -> ClientAccount | None:
        """Return the client account that an API key names.

        The lookup is by SHA-256 of the key, so its timing tells nothing about
        a stored key that a caller could use to build a nearer guess.
        """
        return self._account_by_key_hash.get(hash_key(key))

    def allowed_versions(self, account: ClientAccount) -> list[Version]:
        """Return the offered versions that a client account may use."""
        return [
            version
            for version in self.versions.values()
            if version.stage is VersionStage.OFFERED and account.allows_version(version.id)
        ]


def _matches_any(name: str, patterns: tuple[str, ...]) -> bool:
    return any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)
