"""Versions that a stand-in engine has loaded, and the orders that load and unload them."""

import time
from collections import Counter
from collections.abc import Callable

import msgspec

LOADED_QUALITY = 0.8


class OrderBody(msgspec.Struct):
    """Body of an order: ``load`` or ``unload`` one version, or ``hold`` exactly ``versions``."""

    fence: int
    action: str
    version: str = ""
    versions: list[str] = []


class LoadedModels:
    """The loaded versions of an engine.

    Attributes
    ----------
    quality : dict of str to float
        Answer quality by version; the keys are the loaded versions.
    fence : int
        Highest fencing number so far, -1 before the first order; ``hold`` sets it to its own.
    open_streams : Counter of str
        Running streams by version.
    """

    def __init__(
        self, quality: dict[str, float], load_s: float, record: Callable[..., None]
    ) -> None:
        self.quality = quality
        self.fence = -1
        self.open_streams: Counter[str] = Counter()
        self._load_s = load_s
        self._record = record
        self._ordered_versions: list[str] = []
        self._load_ends_at: dict[str, float] = {}

    def execute(self, order: OrderBody) -> None:
        """Execute and record an order; the caller checks the fencing number."""
        self.fence = max(self.fence, order.fence)
        match order.action:
            case "load":
                self.quality.setdefault(order.version, LOADED_QUALITY)
            case "unload":
                self.quality.pop(order.version, None)
            case "hold":
                self.fence = order.fence
                self._load_exactly(order.versions)
        self._record("order", **msgspec.to_builtins(order))

    def finish_loads(self) -> None:
        """Mark the versions as loaded whose load time has passed."""
        now = time.monotonic()
        for version, ready_at in list(self._load_ends_at.items()):
            if ready_at <= now and self._load_ends_at.pop(version, None) is not None:
                self.quality.setdefault(version, LOADED_QUALITY)
                self._record("loaded", version=version)

    def describe(self, room: int) -> dict[str, object]:
        """Return the engine's report on its models, as ``GET /v1/models`` answers it."""
        self.finish_loads()
        return {
            "room": room,
            "loaded": sorted(self.quality),
            "loading": sorted(self._load_ends_at),
            "wanted": self._ordered_versions,
            "fence": self.fence,
        }

    def _load_exactly(self, versions: list[str]) -> None:
        self._ordered_versions = versions
        for version in set(self.quality) - set(versions):
            self._record("unloaded", version=version, open=self.open_streams[version])
            self.quality.pop(version)
        ready_at = time.monotonic() + self._load_s
        missing = [version for version in versions if version not in self.quality]
        self._load_ends_at = {
            version: self._load_ends_at.get(version, ready_at) for version in missing
        }
        self.finish_loads()
