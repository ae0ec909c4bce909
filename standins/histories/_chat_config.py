"""The configurations of a history of chats, and a model of what the log says of them."""

from poplarrun.config import Publication, Withdrawal, decode_record
from poplarrun.contracts import Document, hash_key, parse_document
from poplarrun.log import Entry
from standins.histories._chat_events import Terms
from standins.histories._chat_rules import PRICES

CLASS = "note"
ACCOUNTS = {"shop": "shop-key", "press": "press-key"}
NOTHING = Terms(frozenset(), {})


class ConfigModel:
    """What the configuration's stream says, without the product's fold.

    Parameters
    ----------
    terms : dict of str to Terms
        What each published document allows, by its text.
    """

    def __init__(self, terms: dict[str, Terms]) -> None:
        self._terms = terms
        self._offset = -1
        self._text = ""
        self._gone: frozenset[str] = frozenset()
        self._seen: set[str] = set()

    def fold(self, entry: Entry) -> Terms:
        """Take the next record; return what is allowed after it."""
        match decode_record(entry.data):
            case Publication(id=id, based_on=based_on, document=text):
                if id not in self._seen and based_on == self._offset:
                    self._offset, self._text = entry.offset, text
                    # The system's withdrawal ends where an operator withdraws it too.
                    self._gone &= self._terms[text].offered
                self._seen.add(id)
            case Withdrawal(id=id, version=version):
                if id not in self._seen:
                    self._gone |= {version}
                self._seen.add(id)
        terms = self._terms.get(self._text, NOTHING)
        return Terms(terms.offered - self._gone, terms.allowed)


def write_document(withdrawn: set[str], narrowed: bool) -> str:
    """Return a document; a narrowed one takes a version from the press."""
    models = ""
    for version, price in PRICES.items():
        stage = "withdrawn" if version in withdrawn else "offered"
        per_mtok = price * 1_000_000
        models += (
            f"  {version.partition(':')[0]}: {{versions: {{'1': {{stage: {stage}, "
            f"price: {{input_per_mtok: {per_mtok}, output_per_mtok: {per_mtok}}}}}}}}}\n"
        )
    press = '["cheap:1"]' if narrowed else '["cheap:1", "mid:1"]'
    return f"""
classes:
  {CLASS}:
    importance: 5
    targets: {{quality: 0.5, first_token_ms: 4000, between_tokens_ms: 1000, whole_s: 10}}
models:
{models}accounts:
  shop: {{keys: ["{hash_key(ACCOUNTS['shop'])}"], classes: ["*"], versions: ["*"]}}
  press: {{keys: ["{hash_key(ACCOUNTS['press'])}"], classes: ["*"], versions: {press}}}
"""


def read_terms(text: str) -> Terms:
    """Return what a document allows."""
    document = parse_document(text)
    assert isinstance(document, Document)
    offered = frozenset(str(v.id) for v in document.versions.values() if v.stage.value == "offered")
    allowed = {
        name: frozenset(str(v) for v in document.versions if account.allows_version(v))
        for name, account in document.accounts.items()
    }
    return Terms(offered, allowed)
