"""Log lines of the gateway: one for each decision that touches a request."""

import logging

from poplarrun.dispatch import Failure, Send
from poplarrun.errors import Refusal
from poplarrun.logs import part_logger
from poplarrun.routing import Work


class RequestLog:
    """Writes what happens to requests; good ones at debug level only.

    Parameters
    ----------
    level : int
        Least level that is written.
    """

    def __init__(self, level: int = logging.INFO) -> None:
        self._log = part_logger("request")
        self._level = level

    def sent(self, work: Work, send: Send, is_reused: bool, is_resumed: bool) -> None:
        """Note a send."""
        if self._level <= logging.DEBUG or work.sends > 1:
            self._write("Sent.", work, send=work.sends, **_seat_fields(send), resumed=is_resumed)

    def failed(self, work: Work, send: Send, failure: Failure) -> None:
        """Note a failed send."""
        self._write("A send failed.", work, failure=repr(failure), **_seat_fields(send))

    def dropped(self, work: Work, confidence: float | None) -> None:
        """Note that a larger model is asked in place of an answer."""
        self._write("A larger model is asked.", work, confidence=confidence, size=work.size)

    def ended(self, work: Work, outcome: str) -> None:
        """Note an answer that went to the caller."""
        if self._level <= logging.DEBUG or work.sends > 1 or outcome != "whole":
            self._write("Answered.", work, outcome=outcome, sends=work.sends)

    def refused(self, work: Work, refusal: Refusal, is_started: bool) -> None:
        """Note a refusal, or an answer that was broken off."""
        self._write(
            "Broken off." if is_started else "Refused.",
            work,
            kind=refusal.kind.value,
            reason=refusal.message,
            sends=work.sends,
            may_have_run=work.may_have_run,
        )

    def _write(self, text: str, work: Work, **fields: object) -> None:
        fields |= {"request": work.request.id, "route": work.route.name}
        self._log.info(text, extra=fields)


def _seat_fields(send: Send) -> dict[str, object]:
    return {
        "endpoint": send.seat.member.listing.lifetime,
        "size": send.size,
        "expected_s": round(send.seat.first_s, 3),
        "load": round(send.seat.member.load, 2),
    }
