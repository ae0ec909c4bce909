"""The router: one object on the loop that decides about every request."""

import random

from poplarrun.endpoints import EndpointTable
from poplarrun.metrics import Metrics
from poplarrun.router._chats import ChatRouter
from poplarrun.router._context import RouterContext
from poplarrun.router._engine_dispatcher import EngineDispatcher
from poplarrun.router._operations import OperationRouter
from poplarrun.router._sessions import SessionRouter
from poplarrun.versions import VersionManager

DEFAULT_QUEUE_BOUND = 64


class Router:
    """Decides about requests; called on the loop only, never blocks.

    Attributes
    ----------
    context : RouterContext
        What the decisions share, the configuration in force among it.
    chats : ChatRouter
        Decides about chat requests.
    sessions : SessionRouter
        Finds the version that a chat request's session keeps.
    operations : OperationRouter
        Decides about calls of plain services.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        metrics: Metrics,
        versions: VersionManager,
        max_queued: int = DEFAULT_QUEUE_BOUND,
        source: random.Random | None = None,
    ) -> None:
        source = source or random.Random()
        self.context = RouterContext(endpoints, metrics, versions, source=source)
        dispatch = EngineDispatcher(endpoints, max_queued, source, self.context.retry_budgets)
        self.chats = ChatRouter(self.context, dispatch)
        self.sessions = SessionRouter(self.context)
        self.operations = OperationRouter(self.context)

    @property
    def open_requests(self) -> int:
        """Requests that have begun and not ended."""
        return self.chats.open_requests + self.operations.open_requests

    def open_request_ids(self) -> list[str]:
        """Return the ids of the requests that have begun and not ended."""
        return [*self.chats.open_request_ids, *self.operations.open_request_ids]
