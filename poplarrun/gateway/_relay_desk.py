"""What this host relays for its peers."""

from collections.abc import Callable
from dataclasses import replace

from poplarrun.logging import events, write_event
from poplarrun.metrics import Metrics
from poplarrun.paths import (
    Decline,
    DeclineReason,
    HelperState,
    admit_relay,
    check_endpoint,
)
from poplarrun.peers import PeerTable
from poplarrun.placement import EndpointRecord, EndpointState, Placement, group_of
from poplarrun.platform import OTHER_INSTANCE_STATUS, EndpointAnswer, decode_answer
from poplarrun.relays import AnswerHead, OpenRelay, RelayEnd, RelayTarget
from poplarrun.transport import seconds_since_boot

# For how long a peer asks for no connection to an endpoint in an evacuated zone, in seconds. It may
# not know the order yet, or this host not that the zone is taken back.
EVACUATED_RETRY_S = 1.0


def ignore_closed(_: EndpointRecord) -> None:
    """Do nothing; for hosts that don't watch endpoints."""


class RelayDesk:
    """Collects what this host knows when a peer asks for a connection, and applies the decision.

    Parameters
    ----------
    open_requests : callable
        Returns the open requests of this host's own callers.
    open_relays : callable
        Returns the connections that it relays, the one that is asked for included.

    Attributes
    ----------
    max_requests : int
        Open requests and relayed connections that it has room for.
    is_stopping : bool
        Whether it relays no further ones.
    on_closed : callable
        Called with an endpoint that has closed a relayed connection.
    """

    def __init__(
        self,
        placement: Placement,
        peer_table: PeerTable,
        metrics: Metrics,
        open_requests: Callable[[], int],
        open_relays: Callable[[], int],
    ) -> None:
        self._placement = placement
        self._peer_table = peer_table
        self._metrics = metrics
        self._open_requests = open_requests
        self._open_relays = open_relays
        self.max_requests = 0
        self.is_stopping = False
        self.on_closed: Callable[[EndpointRecord], None] = ignore_closed

    def admit(self, request: OpenRelay, peer_ip: str) -> RelayTarget | Decline:
        """Return where to connect for a peer, or why not."""
        endpoint = self._find_endpoint(request)
        state = self._describe(endpoint, self._peer_table.knows_ip(peer_ip))
        decline = admit_relay(state)
        if decline is not None or endpoint is None:
            return decline or Decline(DeclineReason.UNKNOWN_ENDPOINT)
        self._metrics.count_event("relays_opened")
        return RelayTarget(endpoint.record.address, state.load)

    def check(self, request: OpenRelay) -> Decline | None:
        """Return why an endpoint may get nothing any more for a peer; None if it may."""
        endpoint = self._find_endpoint(request)
        if endpoint is None:
            return Decline(DeclineReason.UNKNOWN_ENDPOINT)
        decline = check_endpoint(self._describe(endpoint, True))
        if decline is not None:
            self._metrics.count_event("relay_withheld")
        return decline

    def _find_endpoint(self, request: OpenRelay) -> EndpointState | None:
        """Return the endpoint that is meant, if this host lists its start."""
        return _check_start(self._placement.find(request.instance_id), request)

    def _describe(self, endpoint: EndpointState | None, knows_peer: bool) -> HelperState:
        now = seconds_since_boot()
        state = HelperState(
            is_stopping=self.is_stopping,
            open_requests=self._open_requests(),
            open_relays=self._open_relays() - 1,
            max_requests=self.max_requests,
            knows_peer=knows_peer,
            knows_endpoint=endpoint is not None,
            has_path=False,
        )
        if endpoint is None:
            return state
        record = endpoint.record
        return replace(
            state,
            has_path=self._placement.paths.can_relay_to(record.instance_id, group_of(record), now),
            is_leaving=record.is_leaving
            or self._placement.leaving.includes(record.instance_id, record.started_ms),
            hold_off_s=max(
                EVACUATED_RETRY_S if record.zone in self._placement.evacuated_zones else 0.0,
                endpoint.hold_off.until - now,
            ),
        )

    def record_answer(self, request: OpenRelay, head: AnswerHead) -> None:
        """Record what an endpoint says to this host, whose connection it answers."""
        # A record may lapse while its endpoint answers.
        endpoint = _check_start(self._placement.recall(request.instance_id), request)
        answer = decode_answer(head.status, head.headers)
        if endpoint is None or not _is_trusted(answer, request.request_id):
            return
        now = seconds_since_boot()
        record = endpoint.record
        if answer.hold_off_s > 0.0:
            self._placement.record_hold_off(endpoint, answer.hold_off_s, now)
            self._metrics.count_event("hold_off_asked")
            write_event(events.HoldOffAsked(record.instance_id, answer.hold_off_s, request.origin))
        if answer.is_leaving and self._placement.leaving.record(
            record.instance_id, record.started_ms, now
        ):
            self._metrics.count_event("leaving_announced")
            write_event(events.LeavingAnnounced(record.instance_id, "answer"))

    def record_failed(self, request: OpenRelay) -> None:
        """Record that no connection was established for a peer."""
        self._placement.paths.record_failed(request.instance_id, seconds_since_boot())

    def record_end(self, end: RelayEnd) -> None:
        """Record that a relayed connection has ended."""
        endpoint = self._find_endpoint(end.request)
        if end.is_by_endpoint and endpoint is not None:
            self.on_closed(endpoint.record)
        write_event(
            events.RelayEnded(
                end.request.request_id,
                end.request.instance_id,
                end.request.origin,
                end.seconds,
                end.sent_bytes,
                end.received_bytes,
            )
        )


def _check_start(endpoint: EndpointState | None, request: OpenRelay) -> EndpointState | None:
    """Return an endpoint if it is the start that a peer means."""
    if endpoint is None or endpoint.record.started_ms != request.started_ms:
        return None
    return endpoint


def _is_trusted(answer: EndpointAnswer, request_id: str) -> bool:
    """Return whether an answer is that of the endpoint that was meant, to the relayed request.

    It is the first one on its connection, so a rejection needs no request id.
    """
    if answer.status == OTHER_INSTANCE_STATUS:
        return False
    return answer.request_id == request_id or (answer.request_id is None and answer.is_not_run)
