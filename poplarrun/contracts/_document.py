"""The data classes of a validated operators' document."""

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
        """Parse the form that ``str`` returns.

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
    """The stage that operators set for a version; the system rolls out offered versions."""

    OFFERED = "offered"
    WITHDRAWN = "withdrawn"


class UnmetTargetsPolicy(enum.Enum):
    """How a class is served when no allowed version meets its targets."""

    BEST_EFFORT = "best-effort"
    REFUSE = "refuse"


class MissingKeyPolicy(enum.Enum):
    """How a request for a non-idempotent operation without an idempotency key is handled."""

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
    """A version of a model in the operators' document."""

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
        Latency bounds in seconds that 95 in 100 requests must meet: time to the first token,
        time between tokens, and time to the end of the answer.
    cost_per_request : float, optional
        Maximum mean cost of a request, in account currency.
    """

    quality: float
    first_token_s: float
    between_tokens_s: float
    whole_s: float
    cost_per_request: float | None = None


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of requests: its targets, and its importance (9 is the highest)."""

    name: str
    importance: int
    targets: Targets
    unmet: UnmetTargetsPolicy


@dataclass(frozen=True, slots=True)
class AccountLimitSettings:
    """Limits of a client account over all hosts together; None means no limit."""

    requests_per_second: float | None = None
    tokens_per_minute: float | None = None
    concurrent_streams: int | None = None
    spend_per_day: float | None = None


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account: its keys, permissions and limits.

    Attributes
    ----------
    key_hashes : tuple of str
        Hashes of the API keys that identify the account.
    classes, versions, services : tuple of str
        Shell patterns of what is allowed: class names, ``model:version``, and
        ``service/operation``.
    """

    name: str
    key_hashes: tuple[str, ...]
    classes: tuple[str, ...]
    versions: tuple[str, ...]
    services: tuple[str, ...]
    limits: AccountLimitSettings

    def allows_class(self, name: str) -> bool:
        """Tell whether the account may send requests of a class."""
        return _matches_any(name, self.classes)

    def allows_version(self, version: VersionId) -> bool:
        """Tell whether the account's requests may run on a version."""
        return _matches_any(str(version), self.versions)

    def allows_operation(self, service: str, operation: str) -> bool:
        """Tell whether the account may call an operation of a plain service."""
        return _matches_any(f"{service}/{operation}", self.services)


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of a plain service, with its price in account currency."""

    name: str
    idempotent: bool
    timeout_s: float
    without_key: MissingKeyPolicy
    price: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service, as opposed to a model engine."""

    name: str
    operations: dict[str, Operation]


@dataclass(frozen=True)
class Document:
    """The whole configuration that operators set."""

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
        """Return the client account that an API key belongs to.

        The lookup uses the SHA-256 of the key, so its timing reveals nothing about a stored key
        that would help a caller to guess it.
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
