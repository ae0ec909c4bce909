"""Requests in messages between hosts, for their copies."""

import dataclasses

from poplarrun.peers import CopiedRequest
from poplarrun.routing import Catalogue, InFlightRequest, PromptPart, Request


def describe_request(work: InFlightRequest, now: float) -> CopiedRequest:
    """Return a request as a message, without its API key."""
    request = work.request
    return CopiedRequest(
        request.id,
        request.method,
        request.target,
        request.host,
        list(request.headers),
        request.body,
        work.remaining_s(now),
        "" if work.account is None else work.account.name,
        [(part.key, part.tokens) for part in request.prompt_parts],
        work.model_size or "",
        request.model or "",
    )


def recall_request(
    copied: CopiedRequest, service: str, catalogue: Catalogue | None, now: float
) -> InFlightRequest | None:
    """Return the request of a message; None if this host's configuration doesn't allow it."""
    if catalogue is None:
        return None
    path = copied.target.decode("latin-1").split("?", 1)[0]
    route = catalogue.find_route(copied.host, path)
    if route is None or not route.can_repeat:
        return None
    api_key = _find_key(copied.account, catalogue)
    account = catalogue.find_account(api_key)
    if copied.account and account is None:
        return None
    request = Request(
        copied.id,
        copied.method,
        copied.target,
        copied.host,
        tuple(copied.headers),
        copied.body,
        copied.time_left_s,
        api_key=api_key,
        prompt_parts=tuple(PromptPart(key, tokens) for key, tokens in copied.prompt_parts),
        model=copied.model or None,
    )
    deadline_at = now + copied.time_left_s
    work = InFlightRequest(request, route, account, service, now, deadline_at)
    return dataclasses.replace(work, model_size=copied.model_size or None)


def _find_key(account: str, catalogue: Catalogue) -> str | None:
    """Return an API key of an account, which is checked again when a copy is sent."""
    keys = catalogue.accounts or {}
    return next((key for key, each in keys.items() if each.name == account), None)
