"""Decides whether a host is ready and accepts requests."""

from poplarrun.billing import BillReplicator
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.limits import AccountLimits
from poplarrun.router import Router
from poplarrun.server._endpoint_tasks import EndpointTasks
from poplarrun.server._version_tasks import VersionTasks

# One thread in this many, and at least this many, are reserved for everything but requests.
THREADS_PER_RESERVED_THREAD = 16
MIN_RESERVED_THREADS = 2


class Readiness:
    """Decides whether a host is ready and accepts requests; used on the event loop only.

    Parameters
    ----------
    threads : int
        Worker threads of the HTTP server.
    router, endpoint_tasks, version_tasks, billing, limits
        The parts that must be able to serve.
    has_peers : bool
        Whether the account limits must first be shared out with other hosts.

    Attributes
    ----------
    is_leaving : bool
        Whether the host's stop has begun; it still serves.
    is_stopping : bool
        Whether the host refuses new requests.
    """

    def __init__(
        self,
        threads: int,
        router: Router,
        endpoint_tasks: EndpointTasks,
        version_tasks: VersionTasks,
        billing: BillReplicator,
        limits: AccountLimits,
        has_peers: bool,
    ) -> None:
        self.is_leaving = False
        self.is_stopping = False
        self._threads = threads
        self._router = router
        self._endpoint_tasks = endpoint_tasks
        self._version_tasks = version_tasks
        self._billing = billing
        self._limits = limits
        self._has_peers = has_peers

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return not self.list_missing()

    def list_missing(self) -> list[str]:
        """Return the reasons why the host isn't ready; empty if it is."""
        missing = self._list_missing_parts()
        if not self._endpoint_tasks.has_engine_reports():
            missing.append("reports of the engines")
        if self._has_peers and not self._limits.has_initial_shares:
            missing.append("first parts of the account limits")
        if self.is_leaving:
            missing.append("the host is leaving")
        return missing

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are served: a configuration is in force and endpoints are known.

        A leaving host still serves, since the balancer sends callers here until it has noticed.
        """
        return not self._list_missing_parts()

    def _list_missing_parts(self) -> list[str]:
        missing = []
        if self._router.context.configuration.offset < 0:
            missing.append("a configuration")
        if not self._version_tasks.has_rollouts:
            missing.append("the roll-outs")
        if self._endpoint_tasks.host_list_read_at is None:
            missing.append("the host list")
        if self.is_stopping:
            missing.append("the host is stopping")
        return missing

    @property
    def has_no_free_thread(self) -> bool:
        """Whether only the reserved threads are free.

        Each open request occupies a thread. If all threads were occupied, callers, the balancer
        and operators would wait in the accept queue without any answer.
        """
        reserved_threads = max(MIN_RESERVED_THREADS, self._threads // THREADS_PER_RESERVED_THREAD)
        return self._router.open_requests >= self._threads - reserved_threads

    def check_request(self) -> Refusal | None:
        """Return a refusal if this host can't accept a new request now."""
        if not self.accepts_requests:
            kind = ErrorKind.STOPPING if self.is_stopping else ErrorKind.NOT_READY
            return self._refuse(kind, "this host takes no requests now; try another")
        if self.has_no_free_thread:
            return self._refuse(ErrorKind.QUEUE_FULL, "this host has no thread left; try another")
        if self._billing.is_full:
            return self._refuse(ErrorKind.BILL_NOT_KEPT, "the log has taken no bills for long")
        return None

    def _refuse(self, kind: ErrorKind, message: str) -> Refusal:
        return self._router.context.refuse(kind, message)
