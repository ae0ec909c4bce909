"""What the gateway's decisions, digests and log lines cost: ``python -m bench.gateway``."""

import io
import json
import logging
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from pythonjsonlogger.json import JsonFormatter

from bench.figures import Figure, Slope, report
from poplarrun import peers
from poplarrun.logging import NonBlockingHandler, events, write_event
from poplarrun.peers import Digest, EndpointLoad, Scope, encode_message, encode_totals
from poplarrun.placement import EndpointRecord, Placement
from poplarrun.platform import decode_catalogue
from poplarrun.routing import (
    InFlightRequest,
    LatencyTargets,
    PromptPart,
    RepeatPolicy,
    Request,
    Route,
    Service,
    ServiceWeight,
)

COMMAND = "python -m bench.gateway"
ENDPOINT_COUNTS = (12, 100, 400, 830)
ROUTE_COUNTS = (10, 100, 400, 1600)
USUAL_ENDPOINTS = 12
ROUNDS = 400
REPETITIONS = 5
ENGINES = Service("engines", 100, 64, 400_000)
PACE = LatencyTargets(10.0, 2.0)
ROUTE = Route("r", "h", "/", RepeatPolicy.STREAM, PACE, 1, (ServiceWeight("engines", 1.0),), 3)
# Lines of one good request: admitted, sent, answered.
LINES_A_REQUEST = 3
# Requests a second of one host today, and ten times that.
REQUESTS_PER_S = 9.0
FLOOD = 10.0
FLOOD_S = 10.0


def make_listings(count: int) -> list[EndpointRecord]:
    """Return endpoints in three zones."""
    return [
        EndpointRecord(f"i-{n:010x}", "engines", f"10.0.0.1:{n}", "abc"[n % 3], "v1", 64, False)
        for n in range(count)
    ]


def make_work(number: int) -> InFlightRequest:
    """Return a request with a beginning that others share."""
    parts = (PromptPart(f"p{number % 90}", 13_000), PromptPart(f"own{number}", 3_700))
    request = Request(f"r{number}", b"POST", b"/", "h", (), b"", 10.0, prompt_parts=parts)
    return InFlightRequest(request, ROUTE, None, "engines", 0.0, 10.0)


def time_us(step: Callable[[int], object]) -> float:
    """Return the fastest mean time of a step over some repetitions, in microseconds."""
    best = float("inf")
    for _ in range(REPETITIONS):
        began = time.perf_counter()
        for number in range(ROUNDS):
            step(number)
        best = min(best, (time.perf_counter() - began) / ROUNDS)
    return best * 1e6


def measure_choice(count: int) -> float:
    """Return the time of one choice among so many endpoints, in microseconds."""
    placement = Placement("a", random.Random(1))
    placement.update_endpoints(make_listings(count))
    return time_us(lambda n: placement.choose(make_work(n), ENGINES, 1.0, "small"))


def measure_digest(count: int) -> tuple[float, float]:
    """Return size and encoding time of a digest that names so many endpoints."""
    loads = [EndpointLoad(listing.instance_id, 9, 420) for listing in make_listings(count)]
    totals = encode_totals(peers.ActivityTotals(1, loads))
    digest = Digest("10.1.0.40:7340", "a", 1e5, 1e5, 0.2, 43, 0.4, 0.3, scope=Scope.HOST)

    def encode(_: int) -> bytes:
        told = msgspec.structs.replace(digest, totals=encode_totals(peers.ActivityTotals(1, loads)))
        return encode_message(told)

    size = len(encode_message(msgspec.structs.replace(digest, totals=totals)))
    return size, time_us(encode)


def measure_config(count: int) -> tuple[float, float]:
    """Return time and memory of a configuration of so many routes."""
    routes = [
        {
            "name": f"r-{n}",
            "host": "shop.example",
            "pathPrefix": f"/p{n}/",
            "type": "idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "service": "engines",
        }
        for n in range(count)
    ]
    document = {"version": 1, "routes": routes, "services": [{"name": "engines"}], "tenants": []}
    value = json.dumps(document).encode()
    seconds = float("inf")
    for _ in range(REPETITIONS):
        began = time.perf_counter()
        decode_catalogue(value)
        # The fastest: a collection of garbage in between takes some 30 ms by itself.
        seconds = min(seconds, time.perf_counter() - began)
    tracemalloc.start()
    kept = decode_catalogue(value)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept.version == 1
    return seconds * 1e3, held / 1e6


def make_event(number: int) -> events.RequestSent:
    """Return the longest line of a good request."""
    return events.RequestSent(
        f"{number:016x}",
        1,
        "i-7f3a91c2",
        "zone-a",
        "v1",
        "m0",
        0.21,
        0.1,
        0.05,
        9.9,
        False,
        "hash",
        "85207faa",
    )


def measure_lines() -> tuple[float, float]:
    """Return processor time and bytes of one log line."""
    out = io.StringIO()
    set_up(NonBlockingHandler(out.write, clock=lambda: 0.0))
    micros = time_us(lambda n: write_event(make_event(n)))
    out.seek(0)
    out.truncate()
    handler = set_up(NonBlockingHandler(out.write))
    write_event(make_event(1))
    handler.flush()
    return micros, float(len(out.getvalue()) or 1)


def set_up(handler: NonBlockingHandler) -> NonBlockingHandler:
    """Have events written by a handler."""
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(message)s"))
    logger = logging.getLogger("poplarrun")
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(logging.INFO)
    return handler


def measure_flood() -> tuple[float, float]:
    """Return written and left out lines a second at ten times the usual requests."""
    now = [0.0]
    written = [0]

    def count(text: str) -> None:
        written[0] += text.count("\n")

    handler = set_up(NonBlockingHandler(count, clock=lambda: now[0]))
    lines = int(REQUESTS_PER_S * FLOOD * LINES_A_REQUEST * FLOOD_S)
    for number in range(lines):
        now[0] = number * FLOOD_S / lines
        write_event(make_event(number))
        handler.flush()
    return written[0] / FLOOD_S, sum(handler.dropped_counts.values()) / FLOOD_S


def main() -> int:
    """Run the bench; return the exit code."""
    choices = tuple((float(n), round(measure_choice(n), 1)) for n in ENDPOINT_COUNTS)
    digests = [(n, measure_digest(n)) for n in ENDPOINT_COUNTS]
    configs = [(n, measure_config(n)) for n in ROUTE_COUNTS]
    line_us, line_bytes = measure_lines()
    written, left_out = measure_flood()
    figures = [
        Figure("choice_among_12_endpoints", choices[0][1], "us"),
        Figure("line", round(line_us, 1), "us"),
        Figure("lines_of_a_request", round(LINES_A_REQUEST * line_us, 1), "us"),
        Figure("bytes_of_a_request", round(LINES_A_REQUEST * line_bytes), "bytes"),
        Figure("lines_written_at_10_times_the_load", round(written), "lines/s"),
        Figure("lines_left_out_at_10_times_the_load", round(left_out), "lines/s"),
    ]
    digest_bytes = tuple((float(n), float(size)) for n, (size, _) in digests)
    digest_us = tuple((float(n), round(micros, 1)) for n, (_, micros) in digests)
    config_ms = tuple((float(n), round(ms, 2)) for n, (ms, _) in configs)
    config_mb = tuple((float(n), round(mb, 3)) for n, (_, mb) in configs)
    slopes = [
        Slope("choice_by_endpoints", "endpoints", "us", choices, COMMAND),
        Slope("digest_bytes_by_endpoints", "endpoints", "bytes", digest_bytes, COMMAND),
        Slope("digest_us_by_endpoints", "endpoints", "us", digest_us, COMMAND),
        Slope("config_by_routes", "routes", "ms", config_ms, COMMAND),
        Slope("config_memory_by_routes", "routes", "MB", config_mb, COMMAND),
    ]
    return report("gateway", figures, slopes)


if __name__ == "__main__":
    sys.exit(main())
