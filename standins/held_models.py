"""The versions in a stand-in engine's memory, and the orders that change them."""

import time
from collections import Counter
from collections.abc import Callable

import msgspec

LOADED_QUALITY = 0.8


class OrderBody(msgspec.Struct):
    """An order: load or unload a version, or hold just these versions."""

    fence: int
    action: str
    version: str = ""
    versions: list[str] = []


class HeldModels:
    """What an engine holds; ``quality`` has the loaded versions as keys."""

    def __init__(
        self, quality: dict[str, float], load_s: float, record: Callable[..., None]
    ) -> None:
        self.quality = quality
        self.fence = -1
        self.open: Counter[str] = Counter()
        self._load_s = load_s
        self._record = record
        self._wanted: list[str] = []
        self._loading: dict[str, float] = {}

    def take(self, order: OrderBody) -> None:
        """Do what an order says."""
        self.fence = max(self.fence, order.fence)
        match order.action:
            case "load":
                self.quality.setdefault(order.version, LOADED_QUALITY)
            case "unload":
                self.quality.pop(order.version, None)
            case "hold":
                self.fence = order.fence
                self._hold(order.versions)
        self._record("order", **msgspec.to_builtins(order))

    def finish_loads(self) -> None:
        """Take in what was loaded meanwhile."""
        now = time.monotonic()
        for version, ready_at in list(self._loading.items()):
            if ready_at <= now and self._loading.pop(version, None) is not None:
                self.quality.setdefault(version, LOADED_QUALITY)
                self._record("loaded", version=version)

    def tell(self, room: int) -> dict[str, object]:
        """Return what the engine says of its models."""
        self.finish_loads()
        return {
            "room": room,
            "loaded": sorted(self.quality),
            "loading": sorted(self._loading),
            "wanted": self._wanted,
            "fence": self.fence,
        }

    def _hold(self, versions: list[str]) -> None:
        self._wanted = versions
        for version in set(self.quality) - set(versions):
            self._record("unloaded", version=version, open=self.open[version])
            self.quality.pop(version)
        ready_at = time.monotonic() + self._load_s
        missing = [version for version in versions if version not in self.quality]
        self._loading = {version: self._loading.get(version, ready_at) for version in missing}
        self.finish_loads()
