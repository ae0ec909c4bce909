"""The two example firms: their configuration documents and the load of their callers."""

from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Any

import yaml

EXAMPLES = Path(__file__).resolve().parent.parent
TOKENS_PER_MTOK = 1_000_000
OFFERED_VERSION = "larch:2"
OFFERED_VERSION_LINE = '"2": {stage: offered, price: {input_per_mtok: 0.1, output_per_mtok: 0.4}}'


@dataclass(frozen=True)
class ChatLoad:
    """The chat load of one class.

    Attributes
    ----------
    work_class : str
        The class, sent as ``model`` of the request.
    rate_per_s : float
        Mean arrival rate.
    max_tokens : int
        Maximum length of an answer.
    shared_context_words : int
        Length of the context that all requests of the class share, in words.
    uses_sessions : bool
        Whether each arrival opens a session of its own and sends a second request in it.
    """

    work_class: str
    rate_per_s: float
    max_tokens: int
    shared_context_words: int
    uses_sessions: bool = False


@dataclass(frozen=True)
class OperationLoad:
    """The load of one non-idempotent operation; each arrival has an idempotency key of its own.

    Attributes
    ----------
    service, operation : str
        Names in the document.
    rate_per_s : float
        Mean arrival rate.
    """

    service: str
    operation: str
    rate_per_s: float


@dataclass(frozen=True)
class Firm:
    """One example user of poplarrun.

    Attributes
    ----------
    name : str
        Name of the firm and of its document in ``examples/``.
    account, key : str
        The client account that its callers use, and its API key.
    top_priority : str
        The measure that matters most to the firm.
    chat_loads, operation_loads : tuple
        The load of its callers.
    """

    name: str
    account: str
    key: str
    top_priority: str
    chat_loads: tuple[ChatLoad, ...]
    operation_loads: tuple[OperationLoad, ...]

    @cached_property
    def document_text(self) -> str:
        """The configuration document that operators publish, as text."""
        return (EXAMPLES / f"{self.name}.yaml").read_text()

    @cached_property
    def document_text_with_offer(self) -> str:
        """The text of the document with ``OFFERED_VERSION`` added."""
        return self.document_text.replace(
            "  spruce:\n", f"      {OFFERED_VERSION_LINE}\n  spruce:\n", 1
        )

    @cached_property
    def document(self) -> dict[str, Any]:
        """The parsed document with ``OFFERED_VERSION`` added."""
        return yaml.safe_load(self.document_text_with_offer)

    def quality_target(self, work_class: str) -> float:
        """Return a class's quality target."""
        return self.document["classes"][work_class]["targets"]["quality"]

    def first_token_target_s(self, work_class: str) -> float:
        """Return a class's target for the first token, in seconds."""
        return self.document["classes"][work_class]["targets"]["first_token_ms"] / 1000

    def compute_cost(self, version: str, prompt_tokens: int, output_tokens: int) -> float:
        """Return the cost of a request on a version, in the currency of the prices."""
        model, _, name = version.partition(":")
        price = self.document["models"][model]["versions"][name]["price"]
        cost_times_mtok = (
            price["input_per_mtok"] * prompt_tokens + price["output_per_mtok"] * output_tokens
        )
        return cost_times_mtok / TOKENS_PER_MTOK


THISTLEDOWN = Firm(
    name="thistledown",
    account="borough-north",
    key="borough-north-key",
    top_priority="cost at the quality target",
    chat_loads=(
        ChatLoad("long-report", 1.0, 120, 256, uses_sessions=True),
        ChatLoad("digest", 4.0, 60, 64),
        ChatLoad("note", 5.0, 20, 16),
    ),
    operation_loads=(OperationLoad("loan-records", "correct", 2.0),),
)
ANELLIDORO = Firm(
    name="anellidoro",
    account="verona-shop",
    key="verona-shop-key",
    top_priority="latency",
    chat_loads=(
        ChatLoad("brief", 1.0, 120, 128, uses_sessions=True),
        ChatLoad("answer", 5.0, 40, 64),
        ChatLoad("engraving", 4.0, 20, 16),
    ),
    operation_loads=(OperationLoad("stock", "reserve", 1.0), OperationLoad("orders", "place", 1.0)),
)
FIRMS = {firm.name: firm for firm in (THISTLEDOWN, ANELLIDORO)}
