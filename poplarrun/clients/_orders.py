"""Orders to model engines, and the weight store that they load from."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from poplarrun.clients._http import base_url, get_pool_manager

TIMEOUT_S = 1.0
# The store hands out big files; a slow one still counts as answering.
STORE_TIMEOUT_S = 30.0
OK = 200
UNKNOWN = 404
CONFLICT = 409
HOLD = "hold"


class EngineModels(msgspec.Struct, frozen=True):
    """What an engine says of the versions in its memory.

    Attributes
    ----------
    room : int
        Versions that fit into its memory.
    loaded, loading : list of str
        Versions ``model:version`` that it holds, and those on their way.
    wanted : list of str
        Versions of the last order that it took.
    fence : int
        Fencing number of that order; -1 before the first since its start.
    """

    room: int
    loaded: list[str] = []
    loading: list[str] = []
    wanted: list[str] = []
    fence: int = -1


class ModelsOrder(msgspec.Struct, frozen=True):
    """The whole set of versions that an engine is to hold; repeating it changes nothing.

    Attributes
    ----------
    fence : int
        Fencing number of the sender's lease.
    versions : list of str
        Each ``model:version``, sorted.
    """

    fence: int
    versions: list[str]
    action: str = HOLD


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine took the order."""


@dataclass(frozen=True, slots=True)
class OrderFenced:
    """The engine has had an order with a higher fencing number."""


@dataclass(frozen=True, slots=True)
class OrdersUnsupported:
    """The engine tells of no room: nothing is ordered of it."""


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """No answer; an order may have taken effect."""

    reason: str


class Orders(Protocol):
    """Orders to engines, by address. Calls block and never raise."""

    def read_models(self, address: str) -> EngineModels | OrdersUnsupported | OrderFailed:
        """Read what an engine holds."""

    def send(self, address: str, order: ModelsOrder) -> OrderAccepted | OrderFenced | OrderFailed:
        """Send an order."""


class WeightStore(Protocol):
    """The rate-limited store of weights. Calls block and never raise."""

    def fetch(self, version: str, engine: str) -> str:
        """Have a version's weights handed to an engine; return why not, or ''."""


class HttpOrders:
    """``Orders`` over HTTP."""

    def read_models(self, address: str) -> EngineModels | OrdersUnsupported | OrderFailed:
        """Read what an engine holds."""
        try:
            response = get_pool_manager().request(
                "GET", f"{base_url(address)}/v1/models", timeout=TIMEOUT_S
            )
            if response.status == UNKNOWN:
                return OrdersUnsupported()
            if response.status != OK:
                return OrderFailed(f"status_{response.status}")
            return msgspec.json.decode(response.data, type=EngineModels)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            return OrderFailed(type(error).__name__)

    def send(self, address: str, order: ModelsOrder) -> OrderAccepted | OrderFenced | OrderFailed:
        """Send an order."""
        try:
            response = get_pool_manager().request(
                "POST",
                f"{base_url(address)}/v1/orders",
                body=msgspec.json.encode(order),
                headers={"Content-Type": "application/json"},
                timeout=TIMEOUT_S,
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
        """Have a version's weights handed to an engine; return why not, or ''."""
        path = f"{self._base}/{version}?engine={engine}"
        try:
            response = get_pool_manager().request("GET", path, timeout=STORE_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        return "" if response.status == OK else f"status_{response.status}"


@dataclass
class MemoryEngine:
    """An engine in memory that takes orders.

    Attributes
    ----------
    room : int
        Versions that fit.
    checks_fencing : bool
        Whether an old fencing number is refused.
    load_s : float
        Time that a load takes, in seconds.
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
        """Forget everything, as a process that starts anew."""
        self.loaded.clear()
        self.loading.clear()
        self.wanted, self.fence = [], -1

    def take(self, order: ModelsOrder, now: float) -> OrderAccepted | OrderFenced:
        """Take an order, or refuse its fencing number."""
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
        """Return what it holds now."""
        for version, ready_at in list(self.loading.items()):
            if ready_at <= now:
                del self.loading[version]
                self.loaded.add(version)
        held, loading = sorted(self.loaded), sorted(self.loading)
        return EngineModels(self.room, held, loading, sorted(self.wanted), self.fence)


class MemoryOrders:
    """``Orders`` to engines in memory, by address."""

    def __init__(self, engines: dict[str, MemoryEngine], clock: Callable[[], float]) -> None:
        self.engines = engines
        self._clock = clock

    def read_models(self, address: str) -> EngineModels | OrdersUnsupported | OrderFailed:
        """Read what an engine holds."""
        engine = self.engines.get(address)
        if engine is None:
            return OrdersUnsupported()
        return OrderFailed("silent") if engine.is_silent else engine.report(self._clock())

    def send(self, address: str, order: ModelsOrder) -> OrderAccepted | OrderFenced | OrderFailed:
        """Send an order."""
        engine = self.engines[address]
        return OrderFailed("silent") if engine.is_silent else engine.take(order, self._clock())


class MemoryWeightStore:
    """A ``WeightStore`` in memory that can refuse.

    Attributes
    ----------
    refusal : str
        Why it hands nothing out; empty when it does.
    fetched : list of (str, str)
        Versions and engines of what it handed out.
    """

    def __init__(self) -> None:
        self.refusal = ""
        self.fetched: list[tuple[str, str]] = []

    def fetch(self, version: str, engine: str) -> str:
        """Have a version's weights handed to an engine; return why not, or ''."""
        if not self.refusal:
            self.fetched.append((version, engine))
        return self.refusal
