"""Endpoints work on for callers that have left, where a stream may not be resumed.

Callers send long streams and close their connections before the time limit. With ``TROUBLE=0`` they
wait for the end.
"""

import http.client
import threading
import time
from pathlib import Path

from review.harness import Deployment, Record, describe_config, has_trouble, run_case

HOSTS = 3
REQUESTS = 30
# Half of the route's objective.
LEAVE_AFTER_S = 0.5
# A stream takes some 3.5 seconds, so that it lasts long after its caller has left.
EVENTS = 300
# The rule's half second, and some more.
CHECK_AFTER_S = 0.8
MAX_FRACTION = 0.25


def _send_stream(address: str, request_id: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(address, timeout=20.0)
    headers = {
        "Host": "shop.example",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "12000",
        "Authorization": "Bearer counter-key",
        "X-Model": "*",
        "X-Token-Usage": "400,300",
        "X-Prompt-Prefix": "5c1e07a2:400",
    }
    connection.request("POST", "/advice/ring", b"advise", headers)
    return connection


def _run_caller(deployment: Deployment, record: Record, number: int) -> None:
    request_id = f"advice-{number}"
    connection = _send_stream(deployment.caller_address(number % HOSTS), request_id)
    record.write(f"sent {request_id} to host {number % HOSTS}")
    if has_trouble():
        time.sleep(LEAVE_AFTER_S)
        connection.close()
        record.write(f"{request_id}: the caller has closed its connection")
        return
    response = connection.getresponse()
    body = response.read()
    record.write(f"{request_id}: {response.status}, {body.count(b'data:')} events")
    connection.close()


def play(record: Record) -> bool:
    """Let callers leave; return whether the endpoints stop their work soon enough."""
    with Deployment(hosts=HOSTS) as deployment:
        times = {"timeoutMs": 12000, "resumable": False}
        deployment.add_route("advice", "draft", **times)
        record.write(f"configuration: {describe_config(deployment.config)}")
        for number, zone in enumerate("abc", 1):
            engine = deployment.add_endpoint(f"engine-{number}", "engines", zone=zone, slots=64)
            engine.event_count = EVENTS
        deployment.start_hosts()
        record.write(f"{HOSTS} hosts are ready")
        working = left = 0
        for first in range(0, REQUESTS, HOSTS):
            numbers = range(first, first + HOSTS)
            callers = [
                threading.Thread(target=_run_caller, args=(deployment, record, number))
                for number in numbers
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            if not has_trouble():
                continue
            time.sleep(CHECK_AFTER_S)
            ids = {f"advice-{number}" for number in numbers}
            for engine in deployment.endpoints.values():
                for request in engine.received_requests:
                    request_id = request.headers["x-attempt-id"]
                    if request_id not in ids:
                        continue
                    left += 1
                    working += not request.is_disconnected
                    state = "stopped" if request.is_disconnected else "still at work"
                    record.write(
                        f"{engine.instance_id}: {request_id} {state} {CHECK_AFTER_S} s later"
                    )
        record.write(f"{left} requests were left, endpoints were still at work on {working}")
        if has_trouble() and not left:
            raise RuntimeError("no request reached an endpoint")
        return working <= MAX_FRACTION * left


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
