"""Configuration documents for simulated chats, and a reference model of the configuration log."""

from poplarrun.config import Publication, Withdrawal, decode_record
from poplarrun.contracts import Document, hash_key, parse_document
from poplarrun.log import Entry
from standins.histories._chat_events import VersionPolicy
from standins.histories._chat_rules import PRICES

REQUEST_CLASS = "note"
ACCOUNTS = {"shop": "shop-key", "press": "press-key"}
EMPTY_POLICY = VersionPolicy(frozenset(), {})


class ConfigModel:
    """Computes the version policy from the configuration stream, independently of the product.

    Parameters
    ----------
    policies : dict of str to VersionPolicy
        The policy of each published document, by the document's text.
    """

    def __init__(self, policies: dict[str, VersionPolicy]) -> None:
        self._policies = policies
        self._offset = -1
        self._text = ""
        self._withdrawn: frozenset[str] = frozenset()
        self._seen_ids: set[str] = set()

    def apply(self, entry: Entry) -> VersionPolicy:
        """Apply the next record and return the resulting policy."""
        match decode_record(entry.data):
            case Publication(id=id, based_on=based_on, document=text):
                if id not in self._seen_ids and based_on == self._offset:
                    self._offset, self._text = entry.offset, text
                    # A withdrawal by the system lasts until an operator's document also withdraws
                    # the version.
                    self._withdrawn &= self._policies[text].offered
                self._seen_ids.add(id)
            case Withdrawal(id=id, version=version):
                if id not in self._seen_ids:
                    self._withdrawn |= {version}
                self._seen_ids.add(id)
        policy = self._policies.get(self._text, EMPTY_POLICY)
        return VersionPolicy(policy.offered - self._withdrawn, policy.allowed)


def write_document(withdrawn: set[str], is_restricted: bool) -> str:
    """Return a configuration; a restricted one allows account ``press`` one version fewer."""
    models = ""
    for version, price in PRICES.items():
        stage = "withdrawn" if version in withdrawn else "offered"
        per_mtok = price * 1_000_000
        models += (
            f"  {version.partition(':')[0]}: {{versions: {{'1': {{stage: {stage}, "
            f"price: {{input_per_mtok: {per_mtok}, output_per_mtok: {per_mtok}}}}}}}}}\n"
        )
    press_versions = '["cheap:1"]' if is_restricted else '["cheap:1", "mid:1"]'
    return f"""
classes:
  {REQUEST_CLASS}:
    importance: 5
    targets: {{quality: 0.5, first_token_ms: 4000, between_tokens_ms: 1000, whole_s: 10}}
models:
{models}accounts:
  shop: {{keys: ["{hash_key(ACCOUNTS['shop'])}"], classes: ["*"], versions: ["*"]}}
  press: {{keys: ["{hash_key(ACCOUNTS['press'])}"], classes: ["*"], versions: {press_versions}}}
"""


def parse_policy(text: str) -> VersionPolicy:
    """Return the version policy of a document."""
    document = parse_document(text)
    assert isinstance(document, Document)
    offered = frozenset(str(v.id) for v in document.versions.values() if v.stage.value == "offered")
    allowed = {
        name: frozenset(str(v) for v in document.versions if account.allows_version(v))
        for name, account in document.accounts.items()
    }
    return VersionPolicy(offered, allowed)
