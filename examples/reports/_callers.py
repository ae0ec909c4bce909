"""The callers of a firm: seeded arrivals, and requests through the balancer."""

import itertools
import random
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace

import msgspec
import urllib3

from examples.reports._balancer import Balancer
from examples.reports._firms import Firm, Operations, Work
from examples.reports._observations import ChatSeen, OperationSeen, Outcome
from standins.engine import judge_text

CALLERS = 96
TIMEOUT_S = 30.0
OK = 200
EVENT = b"data: "
END = b"[DONE]"
# A caller whose operation has no known outcome asks again with the same key.
OPERATION_TRIES = 40
OPERATION_PAUSE_S = 0.25
UNKNOWN_CODES = ("operation_outcome_unknown", "idempotency_key_expired")


@dataclass(frozen=True)
class Arrival:
    """A request that is due at a time after the phase began, in seconds."""

    at_s: float
    send: Callable[[], None]


@dataclass
class Callers:
    """All callers of one firm.

    Attributes
    ----------
    phase : str
        Written into what is seen from now on.
    """

    firm: Firm
    balancer: Balancer
    source: random.Random
    phase: str = ""
    chats: list[ChatSeen] = field(default_factory=list)
    operations: list[OperationSeen] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._pool = urllib3.PoolManager(maxsize=CALLERS, retries=False, timeout=TIMEOUT_S)
        self._workers = ThreadPoolExecutor(CALLERS)
        self._sent: list[Future[None]] = []
        self._numbers = itertools.count()

    def run(self, seconds: float) -> None:
        """Bring work for a time; requests go out when they are due, however late answers are."""
        arrivals = sorted(self._plan(seconds), key=lambda arrival: arrival.at_s)
        began = time.monotonic()
        for arrival in arrivals:
            time.sleep(max(0.0, began + arrival.at_s - time.monotonic()))
            self._sent.append(self._workers.submit(arrival.send))
        time.sleep(max(0.0, began + seconds - time.monotonic()))

    def finish(self) -> None:
        """Wait for all answers.

        Raises
        ------
        Exception
            Whatever a caller's thread raised: its request would else be missing silently.
        """
        self._workers.shutdown(wait=True)
        for sent in self._sent:
            sent.result()

    def _plan(self, seconds: float) -> Iterator["Arrival"]:
        phase = self.phase
        for work in self.firm.work:
            for at_s in self._times(work.per_s, seconds):
                number = next(self._numbers)
                yield Arrival(at_s, lambda w=work, n=number: self._ask(phase, w, n))
        for operations in self.firm.operations:
            for at_s in self._times(operations.per_s, seconds):
                number = next(self._numbers)
                yield Arrival(at_s, lambda o=operations, n=number: self._operate(phase, o, n))

    def _times(self, per_s: float, seconds: float) -> Iterator[float]:
        at_s = self.source.expovariate(per_s)
        while at_s < seconds:
            yield at_s
            at_s += self.source.expovariate(per_s)

    def _ask(self, phase: str, work: Work, number: int) -> None:
        session = f"{phase}-{number}" if work.in_sessions else ""
        for _ in range(1 + work.in_sessions):
            self.chats.append(self._chat(phase, work, session))

    def _chat(self, phase: str, work: Work, session: str) -> ChatSeen:
        seen = ChatSeen(phase, work.work_class, Outcome.BROKEN)
        headers = {"Authorization": f"Bearer {self.firm.key}"}
        if session:
            headers["X-Session-Id"] = session
        content = f"{work.work_class} " + "catalogue " * work.context_words
        body = {
            "model": work.work_class,
            "max_tokens": work.max_tokens,
            "messages": [{"role": "user", "content": content}],
            "stream": True,
        }
        url = f"http://{self.balancer.pick().address}/v1/chat/completions"
        began = time.monotonic()
        try:
            response = self._pool.request(
                "POST", url, json=body, headers=headers, preload_content=False
            )
            seen = replace(seen, request_id=response.headers.get("X-Request-Id", ""))
            if response.status == OK:
                return self._read(seen, response, began)
            return replace(seen, outcome=Outcome.REFUSED, reason=_code_of(response.data))
        except urllib3.exceptions.HTTPError as error:
            return replace(seen, reason=type(error).__name__)

    def _read(self, seen: ChatSeen, response: urllib3.BaseHTTPResponse, began: float) -> ChatSeen:
        """Read a stream; without its end it stays broken."""
        seen = replace(seen, version=response.headers["X-Poplarrun-Version"])
        words: list[str] = []
        for line in response:
            if not line.startswith(EVENT):
                continue
            data = line[len(EVENT) :].strip()
            if data == END:
                quality = judge_text(" ".join(words))
                whole_s = time.monotonic() - began
                return replace(seen, outcome=Outcome.ANSWERED, quality=quality, whole_s=whole_s)
            event = msgspec.json.decode(data)
            if "error" in event:
                return replace(seen, reason=event["error"]["code"])
            text = event["choices"][0]["delta"].get("content", "")
            if text and not words:
                seen = replace(seen, first_s=time.monotonic() - began)
            words += text.split()
            if usage := event.get("usage"):
                seen = self._count(seen, usage["prompt_tokens"], usage["completion_tokens"])
        return replace(seen, reason="no end of stream")

    def _count(self, seen: ChatSeen, prompt_tokens: int, output_tokens: int) -> ChatSeen:
        cost = self.firm.cost(seen.version, prompt_tokens, output_tokens)
        return replace(seen, prompt_tokens=prompt_tokens, output_tokens=output_tokens, cost=cost)

    def _operate(self, phase: str, operations: Operations, number: int) -> None:
        """Send one operation, and again with its key until its outcome is known."""
        key = f"{self.firm.name}-{number}"
        path = f"/v1/services/{operations.service}/{operations.operation}"
        headers = {"Authorization": f"Bearer {self.firm.key}", "Idempotency-Key": key}
        seen = OperationSeen(phase, operations.service, key, Outcome.UNKNOWN, "", 0)
        for tries in range(1, OPERATION_TRIES + 1):
            seen = replace(self._send(seen, path, headers), tries=tries)
            if seen.outcome is Outcome.ANSWERED or seen.reason in UNKNOWN_CODES:
                break
            time.sleep(OPERATION_PAUSE_S)
        self.operations.append(seen)

    def _send(self, seen: OperationSeen, path: str, headers: dict[str, str]) -> OperationSeen:
        url = f"http://{self.balancer.pick().address}{path}"
        try:
            response = self._pool.request("POST", url, json={"key": seen.key}, headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return replace(seen, outcome=Outcome.UNKNOWN, reason=type(error).__name__)
        if response.status == OK:
            return replace(seen, outcome=Outcome.ANSWERED, reason="")
        error = msgspec.json.decode(response.data)["error"]
        outcome = Outcome.REFUSED if error["not_run"] == "yes" else Outcome.UNKNOWN
        return replace(seen, outcome=outcome, reason=error["code"])


def _code_of(body: bytes) -> str:
    return str(msgspec.json.decode(body)["error"]["code"])
