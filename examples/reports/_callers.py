"""Simulates the callers of a firm: seeded Poisson arrivals, sent through the load balancer."""

import itertools
import random
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace

import msgspec
import urllib3

from examples.reports._balancer import Balancer
from examples.reports._firms import ChatLoad, Firm, OperationLoad
from examples.reports._observations import ChatObservation, OperationObservation, Outcome
from standins.engine import judge_text

MAX_CONCURRENT_REQUESTS = 96
REQUEST_TIMEOUT_S = 30.0
HTTP_OK = 200
SSE_DATA_PREFIX = b"data: "
SSE_END = b"[DONE]"
# A caller repeats an operation with the same key until its outcome is known.
MAX_OPERATION_ATTEMPTS = 40
OPERATION_RETRY_DELAY_S = 0.25
FINAL_UNKNOWN_CODES = ("operation_outcome_unknown", "idempotency_key_expired")


@dataclass(frozen=True)
class Arrival:
    """A request that is due ``due_s`` seconds after the start of the phase."""

    due_s: float
    send: Callable[[], None]


@dataclass
class Callers:
    """All callers of one firm, and what they observed.

    Attributes
    ----------
    phase : str
        Name of the phase that is recorded with requests planned from now on.
    """

    firm: Firm
    balancer: Balancer
    rng: random.Random
    phase: str = ""
    chats: list[ChatObservation] = field(default_factory=list)
    operations: list[OperationObservation] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONCURRENT_REQUESTS, retries=False, timeout=REQUEST_TIMEOUT_S
        )
        self._workers = ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS)
        self._futures: list[Future[None]] = []
        self._request_numbers = itertools.count()

    def run(self, duration_s: float) -> None:
        """Send requests when they are due, without waiting for earlier answers (open loop)."""
        arrivals = sorted(self._generate_arrivals(duration_s), key=lambda arrival: arrival.due_s)
        started_at = time.monotonic()
        for arrival in arrivals:
            time.sleep(max(0.0, started_at + arrival.due_s - time.monotonic()))
            self._futures.append(self._workers.submit(arrival.send))
        time.sleep(max(0.0, started_at + duration_s - time.monotonic()))

    def wait_for_answers(self) -> None:
        """Wait for all answers.

        Raises
        ------
        Exception
            Any exception of a caller's thread, whose request would otherwise be missing silently.
        """
        self._workers.shutdown(wait=True)
        for future in self._futures:
            future.result()

    def _generate_arrivals(self, duration_s: float) -> Iterator["Arrival"]:
        phase = self.phase
        for chat_load in self.firm.chat_loads:
            for due_s in self._draw_arrival_times(chat_load.rate_per_s, duration_s):
                number = next(self._request_numbers)
                yield Arrival(due_s, lambda c=chat_load, n=number: self._send_chats(phase, c, n))
        for operation_load in self.firm.operation_loads:
            for due_s in self._draw_arrival_times(operation_load.rate_per_s, duration_s):
                number = next(self._request_numbers)
                yield Arrival(
                    due_s, lambda o=operation_load, n=number: self._send_operation(phase, o, n)
                )

    def _draw_arrival_times(self, rate_per_s: float, duration_s: float) -> Iterator[float]:
        due_s = self.rng.expovariate(rate_per_s)
        while due_s < duration_s:
            yield due_s
            due_s += self.rng.expovariate(rate_per_s)

    def _send_chats(self, phase: str, load: ChatLoad, number: int) -> None:
        session = f"{phase}-{number}" if load.uses_sessions else ""
        for _ in range(1 + load.uses_sessions):
            self.chats.append(self._send_chat(phase, load, session))

    def _send_chat(self, phase: str, load: ChatLoad, session: str) -> ChatObservation:
        observation = ChatObservation(phase, load.work_class, Outcome.BROKEN)
        headers = {"Authorization": f"Bearer {self.firm.key}"}
        if session:
            headers["X-Session-Id"] = session
        content = f"{load.work_class} " + "catalogue " * load.shared_context_words
        body = {
            "model": load.work_class,
            "max_tokens": load.max_tokens,
            "messages": [{"role": "user", "content": content}],
            "stream": True,
        }
        url = f"http://{self.balancer.pick_host().address}/v1/chat/completions"
        started_at = time.monotonic()
        try:
            response = self._pool.request(
                "POST", url, json=body, headers=headers, preload_content=False
            )
            observation = replace(observation, request_id=response.headers.get("X-Request-Id", ""))
            if response.status == HTTP_OK:
                return self._read_stream(observation, response, started_at)
            return replace(
                observation, outcome=Outcome.REFUSED, reason=_extract_error_code(response.data)
            )
        except urllib3.exceptions.HTTPError as error:
            return replace(observation, reason=type(error).__name__)

    def _read_stream(
        self, observation: ChatObservation, response: urllib3.BaseHTTPResponse, started_at: float
    ) -> ChatObservation:
        """Read a stream; the outcome stays ``BROKEN`` unless the end of the stream arrives."""
        observation = replace(observation, version=response.headers["X-Poplarrun-Version"])
        words: list[str] = []
        for line in response:
            if not line.startswith(SSE_DATA_PREFIX):
                continue
            data = line[len(SSE_DATA_PREFIX) :].strip()
            if data == SSE_END:
                quality = judge_text(" ".join(words))
                duration_s = time.monotonic() - started_at
                return replace(
                    observation, outcome=Outcome.ANSWERED, quality=quality, duration_s=duration_s
                )
            event = msgspec.json.decode(data)
            if "error" in event:
                return replace(observation, reason=event["error"]["code"])
            text = event["choices"][0]["delta"].get("content", "")
            if text and not words:
                observation = replace(observation, first_token_s=time.monotonic() - started_at)
            words += text.split()
            if usage := event.get("usage"):
                observation = self._add_usage(
                    observation, usage["prompt_tokens"], usage["completion_tokens"]
                )
        return replace(observation, reason="no end of stream")

    def _add_usage(
        self, observation: ChatObservation, prompt_tokens: int, output_tokens: int
    ) -> ChatObservation:
        cost = self.firm.compute_cost(observation.version, prompt_tokens, output_tokens)
        return replace(
            observation, prompt_tokens=prompt_tokens, output_tokens=output_tokens, cost=cost
        )

    def _send_operation(self, phase: str, load: OperationLoad, number: int) -> None:
        """Send one operation, and repeat it with its key until its outcome is known."""
        key = f"{self.firm.name}-{number}"
        path = f"/v1/services/{load.service}/{load.operation}"
        headers = {"Authorization": f"Bearer {self.firm.key}", "Idempotency-Key": key}
        observation = OperationObservation(phase, load.service, key, Outcome.UNKNOWN, "", 0)
        for attempt in range(1, MAX_OPERATION_ATTEMPTS + 1):
            observation = replace(
                self._attempt_operation(observation, path, headers), attempt_count=attempt
            )
            if observation.outcome is Outcome.ANSWERED or observation.reason in FINAL_UNKNOWN_CODES:
                break
            time.sleep(OPERATION_RETRY_DELAY_S)
        self.operations.append(observation)

    def _attempt_operation(
        self, observation: OperationObservation, path: str, headers: dict[str, str]
    ) -> OperationObservation:
        url = f"http://{self.balancer.pick_host().address}{path}"
        try:
            response = self._pool.request(
                "POST", url, json={"key": observation.key}, headers=headers
            )
        except urllib3.exceptions.HTTPError as error:
            return replace(observation, outcome=Outcome.UNKNOWN, reason=type(error).__name__)
        if response.status == HTTP_OK:
            return replace(observation, outcome=Outcome.ANSWERED, reason="")
        error = msgspec.json.decode(response.data)["error"]
        outcome = Outcome.REFUSED if error["not_run"] == "yes" else Outcome.UNKNOWN
        return replace(observation, outcome=outcome, reason=error["code"])


def _extract_error_code(body: bytes) -> str:
    return str(msgspec.json.decode(body)["error"]["code"])
