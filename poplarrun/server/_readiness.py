"""Whether a host takes requests now, and the refusals of one that doesn't."""

from poplarrun.billing import BillReplicator
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.limits import AccountLimits
from poplarrun.router import Router
from poplarrun.server._endpoint_tasks import EndpointTasks
from poplarrun.server._version_tasks import VersionTasks

# One thread in so many, and at least so many, answer everything but requests.
RESERVED_SHARE = 16
MIN_RESERVED_THREADS = 2


class Readiness:
    """Tells whether a host takes requests; used on the loop only.

    Parameters
    ----------
    threads : int
        Threads that carry bytes.
    router, endpoint_tasks, version_tasks, billing, limits
        The parts that must be able to serve.
    has_peers : bool
        Whether other hosts are to be heard before account limits are shared.

    Attributes
    ----------
    leaving : bool
        Whether the host's stop has begun; it still serves.
    stopping : bool
        Whether it refuses new requests.
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
        self.leaving = False
        self.stopping = False
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
        """Return what keeps the balancer's callers away; empty when the host is ready."""
        missing = self._list_unserved()
        if not self._endpoint_tasks.knows_engines():
            missing.append("reports of the engines")
        if self._has_peers and not self._limits.has_initial_shares:
            missing.append("first parts of the account limits")
        if self.leaving:
            missing.append("the host is leaving")
        return missing

    @property
    def takes_requests(self) -> bool:
        """Whether a request is served: a configuration is in force and endpoints are known.

        A leaving host still serves: until the balancer has noticed, it goes
        on sending callers here, who did nothing to be refused.
        """
        return not self._list_unserved()

    def _list_unserved(self) -> list[str]:
        missing = []
        if self._router.context.configuration.offset < 0:
            missing.append("a configuration")
        if not self._version_tasks.is_known:
            missing.append("the roll-outs")
        if self._endpoint_tasks.list_seen_at is None:
            missing.append("the host list")
        if self.stopping:
            missing.append("the host is stopping")
        return missing

    @property
    def is_crowded(self) -> bool:
        """Whether only the threads are left that answer everything but requests.

        Each open request holds a thread. Were all of them held, callers, the
        balancer and operators alike would wait unseen, without an answer.
        """
        reserved = max(MIN_RESERVED_THREADS, self._threads // RESERVED_SHARE)
        return self._router.open_requests >= self._threads - reserved

    def refuse(self) -> Refusal | None:
        """Refuse a new request that this host can't take now."""
        if not self.takes_requests:
            kind = ErrorKind.STOPPING if self.stopping else ErrorKind.NOT_READY
            return self._count(kind, "this host takes no requests now; try another")
        if self.is_crowded:
            return self._count(ErrorKind.QUEUE_FULL, "this host has no thread left; try another")
        if self._billing.is_full:
            return self._count(ErrorKind.BILL_NOT_KEPT, "the log has taken no bills for long")
        return None

    def _count(self, kind: ErrorKind, message: str) -> Refusal:
        return self._router.context.refuse(kind, message)
