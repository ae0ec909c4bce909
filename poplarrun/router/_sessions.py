"""Looks up the pinned version of a chat request's session."""

from dataclasses import replace

from poplarrun.contracts import ClientAccount
from poplarrun.errors import ErrorKind, Refusal
from poplarrun.router._context import RouterContext
from poplarrun.router._messages import BeginChat
from poplarrun.versions import (
    ChoiceRequest,
    ChosenVersion,
    SessionRegistry,
    sign_session_token,
    verify_session_token,
)

TOKEN_PARAM = "X-Poplarrun-Session"


class SessionRouter:
    """Looks up the version of a request's session; used on the event loop only."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.sessions: SessionRegistry | None = None

    async def pin(self, request: BeginChat) -> BeginChat | Refusal:
        """Return the request with its session's version, or unchanged without a session."""
        account = self._context.configuration.document.account_for_key(request.api_key)
        if account is None or (request.session is None and request.session_token is None):
            return request
        if request.session_token is not None:
            return self._pin_by_token(request, account)
        assert request.session is not None
        return await self._pin_by_id(request, request.session, account)

    def _pin_by_token(self, request: BeginChat, account: ClientAccount) -> BeginChat | Refusal:
        session_and_version = verify_session_token(account, request.session_token or "")
        if session_and_version is None or request.session not in (None, session_and_version[0]):
            message = "the session token was not given out to this client account and session"
            return self._context.refuse(ErrorKind.SESSION_TOKEN_INVALID, message, TOKEN_PARAM)
        session, version = session_and_version
        return replace(request, session=session, pinned_version=version)

    async def _pin_by_id(
        self, request: BeginChat, session: str, account: ClientAccount
    ) -> BeginChat:
        if self.sessions is None:
            return request
        pinned_version = await self.sessions.find(account.name, session)
        if pinned_version is None:
            proposal = self._propose(request)
            if proposal is None:
                return request
            pinned_version = await self.sessions.open(account.name, session, proposal.version.id)
        token = sign_session_token(account, session, pinned_version)
        return replace(request, pinned_version=pinned_version, session_token=token)

    def _propose(self, request: BeginChat) -> ChosenVersion | None:
        """Choose the version of a new session; None if the request will be refused anyway.

        The account is looked up again, since the owners of the session were asked meanwhile.
        An outdated account might open the session on a version that operators no longer allow
        it, and none of its requests could use that.
        """
        document = self._context.configuration.document
        account = document.account_for_key(request.api_key)
        work_class = document.classes.get(request.class_name)
        if account is None or work_class is None or not account.allows_class(work_class.name):
            return None
        choice = self._context.versions.choose(
            ChoiceRequest(
                account,
                work_class,
                request.prompt_tokens,
                request.max_tokens,
                opens_session=True,
                remaining_spend=self._context.spend_left(account),
            )
        )
        return choice if isinstance(choice, ChosenVersion) else None
