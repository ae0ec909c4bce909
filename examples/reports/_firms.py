"""The two firms: their documents, and the work that their callers bring."""

from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Any

import yaml

EXAMPLES = Path(__file__).resolve().parent.parent
TOKENS_PER_MTOK = 1_000_000
OFFERED = "larch:2"
OFFERED_LINE = '"2": {stage: offered, price: {input_per_mtok: 0.1, output_per_mtok: 0.4}}'


@dataclass(frozen=True)
class Work:
    """Chat requests of one class.

    Attributes
    ----------
    work_class : str
        The class, as ``model`` in the call.
    per_s : float
        Requests a second.
    max_tokens : int
        Bound of an answer.
    context_words : int
        Words of the context that all requests of the class share.
    in_sessions : bool
        Whether each request opens a session of its own and ends with a second request in it.
    """

    work_class: str
    per_s: float
    max_tokens: int
    context_words: int
    in_sessions: bool = False


@dataclass(frozen=True)
class Operations:
    """Non-idempotent operations, each with a key of its own.

    Attributes
    ----------
    service, operation : str
        As in the document.
    per_s : float
        Operations a second.
    """

    service: str
    operation: str
    per_s: float


@dataclass(frozen=True)
class Firm:
    """One user of poplarrun.

    Attributes
    ----------
    name : str
        Also the name of the document in ``examples/``.
    account, key : str
        The client account that its callers use.
    weighs : str
        The measure that it weighs most heavily.
    """

    name: str
    account: str
    key: str
    weighs: str
    work: tuple[Work, ...]
    operations: tuple[Operations, ...]

    @cached_property
    def text(self) -> str:
        """The operators' document."""
        return (EXAMPLES / f"{self.name}.yaml").read_text()

    @cached_property
    def text_with_offer(self) -> str:
        """The document with one more version, ``OFFERED``."""
        return self.text.replace("  spruce:\n", f"      {OFFERED_LINE}\n  spruce:\n", 1)

    @cached_property
    def document(self) -> dict[str, Any]:
        """The document with all versions, parsed."""
        return yaml.safe_load(self.text_with_offer)

    def target(self, work_class: str) -> float:
        """Return a class's quality target."""
        return self.document["classes"][work_class]["targets"]["quality"]

    def first_token_target_s(self, work_class: str) -> float:
        """Return a class's target for the first token, in seconds."""
        return self.document["classes"][work_class]["targets"]["first_token_ms"] / 1000

    def cost(self, version: str, prompt_tokens: int, output_tokens: int) -> float:
        """Return what a request costs on a version, in account currency."""
        model, _, name = version.partition(":")
        price = self.document["models"][model]["versions"][name]["price"]
        paid = price["input_per_mtok"] * prompt_tokens + price["output_per_mtok"] * output_tokens
        return paid / TOKENS_PER_MTOK


THISTLEDOWN = Firm(
    name="thistledown",
    account="borough-north",
    key="borough-north-key",
    weighs="cost at the quality target",
    work=(
        Work("long-report", 1.0, 120, 256, in_sessions=True),
        Work("digest", 4.0, 60, 64),
        Work("note", 5.0, 20, 16),
    ),
    operations=(Operations("loan-records", "correct", 2.0),),
)
ANELLIDORO = Firm(
    name="anellidoro",
    account="verona-shop",
    key="verona-shop-key",
    weighs="latency",
    work=(
        Work("brief", 1.0, 120, 128, in_sessions=True),
        Work("answer", 5.0, 40, 64),
        Work("engraving", 4.0, 20, 16),
    ),
    operations=(Operations("stock", "reserve", 1.0), Operations("orders", "place", 1.0)),
)
FIRMS = {firm.name: firm for firm in (THISTLEDOWN, ANELLIDORO)}
