"""Clients that tell engines which versions to load, and a client of the store of weights."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from poplarrun.clients._answers import UNREADABLE_JSON, fetch
from poplarrun.clients._http import base_url

REQUEST_TIMEOUT_S = 1.0
# Longer than other timeouts, because weights are large files: a slow transfer must not count
# as a failed one.
WEIGHT_TRANSFER_TIMEOUT_S = 30.0
OK = 200
NOT_FOUND = 404
CONFLICT = 409
HOLD = "hold"


class EngineModels(msgspec.Struct, frozen=True):
    """The versions that an engine reports to have in memory.

    Attributes
    ----------
    room : int
        Number of versions that fit into its memory.
    loaded, loading : list of str
        Versions ``model:version`` that are loaded, and those being loaded.
    wanted : list of str
        Versions of the last order that the engine accepted.
    fence : int
        Fencing number of that order; -1 before the first order since the engine's start.
    """

    room: int
    loaded: list[str] = []
    loading: list[str] = []
    wanted: list[str] = []
    fence: int = -1


class ModelsOrder(msgspec.Struct, frozen=True):
    """An idempotent order with the complete set of versions that an engine must have loaded.

    Attributes
    ----------
    fence : int
        Fencing number of the sender's lease.
    versions : list of str
        Each as ``model:version``, sorted.
    action : str
        ``hold``: the engine loads those of the versions that it lacks and unloads all others.
    """

    fence: int
    versions: list[str]
    action: str = HOLD


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine accepted the order."""


@dataclass(frozen=True, slots=True)
class OrderFenced:
    """The engine rejected the order: it had accepted one with a higher fencing number."""


@dataclass(frozen=True, slots=True)
class OrdersUnsupported:
    """The engine has no interface for orders (status 404), so none are sent to it."""


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """No usable response came; if the request was an order, it may have been accepted."""

    reason: str


class Orders(Protocol):
    """Sends orders to engines, by address. Calls block and never raise."""

    def read_models(self, address: str) -> EngineModels | OrdersUnsupported | OrderFailed:
        """Fetch an engine's loaded, loading and wanted versions, its room and fencing number."""

    def send(self, address: str, order: ModelsOrder) -> OrderAccepted | OrderFenced | OrderFailed:
        """Send an order to an engine."""


class WeightStore(Protocol):
    """The rate-limited store of model weights. Calls block and never raise."""

    def fetch(self, version: str, engine: str) -> str:
        """Transfer a version's weights to an engine; return '' or the reason of a failure."""


class HttpOrders:
    """``Orders`` over HTTP."""

    def read_models(self, address: str) -> EngineModels | OrdersUnsupported | OrderFailed:
        """Fetch an engine's loaded, loading and wanted versions, its room and fencing number."""
        try:
            response = fetch("GET", f"{base_url(address)}/v1/models", REQUEST_TIMEOUT_S)
            if response.status == NOT_FOUND:
                return OrdersUnsupported()
            if response.status != OK:
                return OrderFailed(f"status_{response.status}")
            return msgspec.json.decode(response.data, type=EngineModels)
        except (urllib3.exceptions.HTTPError, *UNREADABLE_JSON) as error:
            return OrderFailed(type(error).__name__)

    def send(self, address: str, order: ModelsOrder) -> OrderAccepted | OrderFenced | OrderFailed:
        """Send an order to an engine."""
        try:
            response = fetch(
                "POST",
                f"{base_url(address)}/v1/orders",
                REQUEST_TIMEOUT_S,
                body=msgspec.json.encode(order),
                headers={"Content-Type": "application/json"},
            )
        except urllib3.exceptions.HTTPError as error:
            return OrderFailed(type(error).__name__)
        if response.status == CONFLICT:
            return OrderFenced()
        return (
            OrderAccepted() if response.status == OK else OrderFailed(f"status_{response.status}")
        )


class HttpWeightStore:
    """``WeightStore`` over HTTP."""

    def __init__(self, address: str) -> None:
        self._base = f"{base_url(address)}/v1/weights"

    def fetch(self, version: str, engine: str) -> str:
        """Transfer a version's weights to an engine; return '' or the reason of a failure."""
        path = f"{self._base}/{version}?engine={engine}"
        try:
            response = fetch("GET", path, WEIGHT_TRANSFER_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        return "" if response.status == OK else f"status_{response.status}"


@dataclass
class MemoryEngine:
    """An in-memory engine that accepts orders.

    Attributes
    ----------
    room : int
        Number of versions that fit into its memory.
    loaded : set of str
        Loaded versions.
    checks_fencing : bool
        Whether orders with a lower fencing number than the last one's are rejected.
    load_s : float
        Time to load a version.
    fence : int
        Fencing number of the last accepted order.
    is_silent : bool
        Whether requests to it fail.
    loading : dict of str to float
        Versions being loaded, and the times at which they will be loaded.
    wanted : list of str
        Versions of the last accepted order.
    accepted_orders : list of ModelsOrder
        All accepted orders.
    started_loads : list of str
        The version of each load that was started.
    """

    room: int
    loaded: set[str]
    checks_fencing: bool = True
    load_s: float = 0.0
    fence: int = -1
    is_silent: bool = False

    def __post_init__(self) -> None:
        self.loading: dict[str, float] = {}
        self.wanted: list[str] = []
        self.accepted_orders: list[ModelsOrder] = []
        self.started_loads: list[str] = []

    def restart(self) -> None:
        """Lose all state, as a restarted process does."""
        self.loaded.clear()
        self.loading.clear()
        self.wanted, self.fence = [], -1

    def handle_order(self, order: ModelsOrder, now: float) -> OrderAccepted | OrderFenced:
        """Accept an order, or reject its fencing number."""
        if self.checks_fencing and order.fence < self.fence:
            return OrderFenced()
        self.fence, self.wanted = order.fence, order.versions
        self.accepted_orders.append(order)
        self.loaded &= set(order.versions)
        self.loading = {v: at for v, at in self.loading.items() if v in order.versions}
        for version in order.versions:
            if version not in self.loaded and version not in self.loading:
                self.loading[version] = now + self.load_s
                self.started_loads.append(version)
        return OrderAccepted()

    def report(self, now: float) -> EngineModels:
        """Return the versions that are loaded and being loaded now."""
        for version, ready_at in list(self.loading.items()):
            if ready_at <= now:
                del self.loading[version]
                self.loaded.add(version)
        loaded, loading = sorted(self.loaded), sorted(self.loading)
        return EngineModels(self.room, loaded, loading, sorted(self.wanted), self.fence)


class MemoryOrders:
    """``Orders`` to in-memory engines, by address."""

    def __init__(self, engines: dict[str, MemoryEngine], clock: Callable[[], float]) -> None:
        self.engines = engines
        self._clock = clock

    def read_models(self, address: str) -> EngineModels | OrdersUnsupported | OrderFailed:
        """Fetch an engine's loaded, loading and wanted versions, its room and fencing number."""
        engine = self.engines.get(address)
        if engine is None:
            return OrdersUnsupported()
        return OrderFailed("silent") if engine.is_silent else engine.report(self._clock())

    def send(self, address: str, order: ModelsOrder) -> OrderAccepted | OrderFenced | OrderFailed:
        """Send an order to an engine."""
        engine = self.engines[address]
        return (
            OrderFailed("silent") if engine.is_silent else engine.handle_order(order, self._clock())
        )


class MemoryWeightStore:
    """An in-memory ``WeightStore`` that can refuse transfers.

    Attributes
    ----------
    refusal : str
        The reason for which it refuses transfers; empty if it doesn't.
    fetched : list of (str, str)
        Version and engine of each transfer.
    """

    def __init__(self) -> None:
        self.refusal = ""
        self.fetched: list[tuple[str, str]] = []

    def fetch(self, version: str, engine: str) -> str:
        """Transfer a version's weights to an engine; return '' or the reason of a failure."""
        if not self.refusal:
            self.fetched.append((version, engine))
        return self.refusal
