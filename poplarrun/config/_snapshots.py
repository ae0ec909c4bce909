"""Snapshots, which hold the whole state of the fold in one record."""

import dataclasses
import typing
from typing import Any

import msgspec

from poplarrun.config._publications import Publication, Snapshot
from poplarrun.config._signatures import OperatorKeys, decode_signed_record
from poplarrun.config._state import Configuration
from poplarrun.contracts import Document, parse_document

# Fields that are derived from the accepted publication, or stored outside the encoded state.
_EXCLUDED_FIELDS = frozenset({"document", "text", "publication", "offset", "read_to", "anchored"})


def make_snapshot(state: Configuration, record_id: str, published_at: float) -> Snapshot:
    """Return the snapshot of a state."""
    carried = {name: getattr(state, name) for name in _carried_fields()}
    return Snapshot(
        record_id,
        state.offset,
        state.read_to,
        published_at,
        state.publication,
        msgspec.json.encode(carried),
    )


def read_snapshot(snapshot: Snapshot, keys: OperatorKeys) -> Configuration | None:
    """Return the state of a snapshot; None when it is malformed or not signed."""
    publication = decode_signed_record(snapshot.publication, keys)
    if not isinstance(publication, Publication):
        return None
    document = parse_document(publication.document)
    carried = _read_carried(snapshot.state)
    if carried is None or not isinstance(document, Document):
        return None
    return Configuration(
        offset=snapshot.offset,
        read_to=snapshot.read_to,
        document=document,
        text=publication.document,
        publication=snapshot.publication,
        **carried,
    )


def _read_carried(data: bytes) -> dict[str, Any] | None:
    hints = typing.get_type_hints(Configuration)
    try:
        raw = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        return {
            name: msgspec.json.decode(raw[name], type=hints[name])
            for name in _carried_fields()
            if name in raw
        }
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _carried_fields() -> list[str]:
    """Return the names of all other fields, so that a new field is included by default."""
    return [f.name for f in dataclasses.fields(Configuration) if f.name not in _EXCLUDED_FIELDS]
