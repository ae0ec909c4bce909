"""The part of the demo on the users' platform: a draft, an order and a broken endpoint."""

from collections.abc import Callable

from standins.installation import Fault, Installation

Check = Callable[[bool, str], None]


def run_installation(check: Check) -> None:
    """Serve a few requests through two hosts of the gateway.

    Parameters
    ----------
    check : callable
        Told of each promise whether it held.
    """
    with Installation(hosts=2) as installation:
        installation.publish()
        for number in (1, 2):
            endpoint = installation.add_endpoint(f"engine-{number}", "engines")
            endpoint.confidence = {"small": 10, "large": 95}
            installation.add_endpoint(f"stock-{number}", "stock")
        for number in (0, 1):
            installation.start_host(number)
        check(True, "platform: 2 hosts ready, 2 model engines and 2 endpoints of the stock")
        _draft(installation, check)
        _order(installation, check)


def _draft(installation: Installation, check: Check) -> None:
    for endpoint in installation.endpoints.values():
        if endpoint.is_engine:
            # The first answer is dropped for a larger model, whose endpoint breaks off.
            endpoint.faults.extend([Fault.SLOW, Fault.CUT])
    answer = installation.call("/draft/brief", 0, X_Model="*")
    is_large = answer.body.count(b"data: large") == answer.body.count(b"data:")
    events = answer.body.count(b"\n\n")
    check(
        answer.status == 200 and answer.is_whole and is_large and events == 5,
        f"platform: a doubtful draft asked of the larger model, {events} events, each once",
    )


def _order(installation: Installation, check: Check) -> None:
    for endpoint in installation.endpoints.values():
        if not endpoint.is_engine:
            endpoint.faults.append(Fault.LOST)
    answer = installation.call("/order/ring", 1, body=b"one ring")
    ran = sum(
        request.is_executed
        for endpoint in installation.endpoints.values()
        for request in endpoint.received_requests
        if not endpoint.is_engine
    )
    check(
        answer.status == 502 and ran == 1,
        f"platform: an order whose answer was lost ran {ran} time, told as unknown (502)",
    )
