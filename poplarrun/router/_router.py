"""The router: decides about all requests of an entry host."""

import random

from poplarrun.endpoints import EndpointTable
from poplarrun.metrics import Metrics
from poplarrun.router._chats import ChatRouter
from poplarrun.router._context import RouterContext
from poplarrun.router._engine_dispatcher import EngineDispatcher
from poplarrun.router._operations import OperationRouter
from poplarrun.router._sessions import SessionRouter
from poplarrun.versions import VersionManager

DEFAULT_MAX_QUEUED = 64


class Router:
    """Decides about requests; used on the event loop only, never blocks.

    Attributes
    ----------
    context : RouterContext
        The state that all decisions share, including the current configuration.
    chats : ChatRouter
        Decides about chat requests.
    sessions : SessionRouter
        Looks up the pinned version of a chat request's session.
    operations : OperationRouter
        Decides about calls of plain services.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        metrics: Metrics,
        versions: VersionManager,
        max_queued: int = DEFAULT_MAX_QUEUED,
        random_source: random.Random | None = None,
    ) -> None:
        random_source = random_source or random.Random()
        self.context = RouterContext(endpoints, metrics, versions, random_source=random_source)
        dispatcher = EngineDispatcher(
            endpoints, max_queued, random_source, self.context.retry_budgets
        )
        self.chats = ChatRouter(self.context, dispatcher)
        self.sessions = SessionRouter(self.context)
        self.operations = OperationRouter(self.context)

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return self.chats.open_requests + self.operations.open_requests

    def open_request_ids(self) -> list[str]:
        """Return the ids of the requests in progress."""
        return [*self.chats.open_request_ids, *self.operations.open_request_ids]
