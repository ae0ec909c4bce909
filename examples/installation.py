"""The platform part of the demo: a draft, an order, and endpoint failures during both."""

from collections.abc import Callable

from standins.installation import Fault, Installation

Check = Callable[[bool, str], None]


def run_platform_demo(check: Check) -> None:
    """Serve a draft and an order through two gateway hosts.

    Parameters
    ----------
    check : callable
        Called for each check with its result and description.
    """
    with Installation(hosts=2) as installation:
        installation.publish()
        for number in (1, 2):
            endpoint = installation.add_endpoint(f"engine-{number}", "engines")
            endpoint.confidence = {"small": 10, "large": 95}
            installation.add_endpoint(f"stock-{number}", "stock")
        for number in (0, 1):
            installation.start_host(number)
        for number in (0, 1):
            installation.wait_until_settled(number)
        check(True, "platform: 2 hosts ready, 2 model engines and 2 stock endpoints")
        _check_draft(installation, check)
        _check_order(installation, check)


def _check_draft(installation: Installation, check: Check) -> None:
    for endpoint in installation.endpoints.values():
        if endpoint.is_engine:
            # The first answer is discarded in favour of a larger model, whose endpoint then breaks
            # off the stream.
            endpoint.faults.extend([Fault.SLOW, Fault.CUT])
    answer = installation.call("/draft/brief", 0, X_Model="*")
    is_from_large = answer.body.count(b"data: large") == answer.body.count(b"data:")
    event_count = answer.body.count(b"\n\n")
    check(
        answer.status == 200 and answer.is_whole and is_from_large and event_count == 5,
        f"platform: a low-confidence draft escalated to the larger model, "
        f"{event_count} events, each once",
    )


def _check_order(installation: Installation, check: Check) -> None:
    for endpoint in installation.endpoints.values():
        if not endpoint.is_engine:
            endpoint.faults.append(Fault.LOST)
    answer = installation.call("/order/ring", 1, body=b"one ring")
    run_count = sum(
        request.is_executed
        for endpoint in installation.endpoints.values()
        for request in endpoint.received_requests
        if not endpoint.is_engine
    )
    check(
        answer.status == 502 and run_count == 1,
        f"platform: an order whose answer was lost ran {run_count} time and was reported as "
        "unknown (502)",
    )
