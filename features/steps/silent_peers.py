import socket
import threading
import time

from behave import given, then, use_step_matcher, when

from features.steps.relays import HOSTS, PATHS, send
from poplarrun.transport._sockets import (
    CALLER_UNACKED_TIMEOUT_MS,
    ENDPOINT_UNACKED_TIMEOUT_MS,
    detect_dead_peers,
)

# The steps of relays, imported above, use another matcher.
use_step_matcher("parse")
UNACKED_TIMEOUTS_MS = {
    "an endpoint": ENDPOINT_UNACKED_TIMEOUT_MS,
    "a caller": CALLER_UNACKED_TIMEOUT_MS,
}


@given("a connection to {peer:w} {kind:w}")
def step_connection(context, peer, kind):
    context.socket = socket.socket()
    context.add_cleanup(context.socket.close)
    detect_dead_peers(context.socket, UNACKED_TIMEOUTS_MS[f"{peer} {kind}"])


def read_timeouts(sock):
    """Return after how much silence the kernel ends a connection: idle, and with data under way.

    On an idle one the first probe goes after the idle time, and each interval later the kernel ends
    it if a probe is unanswered and the silence exceeds TCP_USER_TIMEOUT.
    """
    names = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_USER_TIMEOUT)
    idle_s, interval_s, user_ms = (sock.getsockopt(socket.IPPROTO_TCP, name) for name in names)
    silent_s = idle_s + interval_s
    while silent_s * 1000 < user_ms:
        silent_s += interval_s
    return silent_s, user_ms / 1000.0


@then("a peer that is silent for up to {seconds:f} s keeps it, idle or with data under way")
def step_keeps(context, seconds):
    idle_s, unacked_s = read_timeouts(context.socket)
    first_probe_s = context.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
    assert min(idle_s, unacked_s, first_probe_s) > seconds, (idle_s, unacked_s, first_probe_s)


@then("the kernel ends it within {seconds:f} s of silence, idle or with data under way")
def step_ends(context, seconds):
    assert max(read_timeouts(context.socket)) <= seconds, read_timeouts(context.socket)


@when("the endpoints are silent for {seconds:f} s while each host gets a request of each kind")
def step_silent(context, seconds):
    context.answers = []
    installation = context.installation
    # The endpoints run on this loop; the kernel still accepts connections and data for them.
    installation._loop.call_soon_threadsafe(time.sleep, seconds)
    threads = [
        threading.Thread(target=send, args=(context, kind, host))
        for host in range(HOSTS)
        for kind in PATHS
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("all of these requests are answered with 200")
def step_answered(context):
    assert len(context.answers) == HOSTS * len(PATHS), context.answers
    assert all(answer.status == 200 for _, answer in context.answers), context.answers


@then("no host has taken a path for lost, or an endpoint for unreached")
def step_nothing_lost(context):
    for host in range(HOSTS):
        text = context.installation.read_log(host)
        assert "PathLost" not in text and "EndpointsAvoided" not in text, text[-2000:]
