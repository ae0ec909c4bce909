"""``poplarrun ask``: one request, its answer streamed to the terminal."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import msgspec
import urllib3

from poplarrun.cli._arguments import EXIT_FAILED, AsJson, HostAddress
from poplarrun.cli._http import make_url

OK = 200
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
TIMEOUT_S = 300.0


@dataclass
class Ask:
    """Send one request and stream the answer."""

    work_class: Annotated[str, cappa.Arg(help="The class of work.")]
    prompt: Annotated[str, cappa.Arg(help="The prompt.")]
    host: HostAddress
    key: Annotated[str, cappa.Arg(long=True, help="API key of the client account.")]
    session: Annotated[
        str | None, cappa.Arg(long=True, help="Session id; a session keeps its version.")
    ] = None
    json: AsJson = False

    def __call__(self) -> None:
        """Send the request."""
        headers = {"Authorization": f"Bearer {self.key}", "Content-Type": "application/json"}
        if self.session is not None:
            headers["X-Session-Id"] = self.session
        body = {
            "model": self.work_class,
            "stream": True,
            "messages": [{"role": "user", "content": self.prompt}],
        }
        response = self._send(headers, msgspec.json.encode(body))
        if response.status != OK:
            raise cappa.Exit(_tell_refusal(response), code=EXIT_FAILED)
        words = self._read_words(response)
        if self.json:
            print(_encode_answer(response, "".join(words)))
            return
        for word in words:
            print(word, end="", flush=True)
        print()
        print(f"request {response.headers.get('X-Request-Id')}", file=sys.stderr)

    def _send(self, headers: dict[str, str], body: bytes) -> urllib3.BaseHTTPResponse:
        try:
            return urllib3.request(
                "POST",
                make_url(self.host, "/v1/chat/completions"),
                body=body,
                headers=headers,
                preload_content=False,
                timeout=TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            message = f"{self.host}: no answer ({type(error).__name__})"
            raise cappa.Exit(message, code=EXIT_FAILED) from error
        except UnicodeEncodeError as error:
            raise cappa.Exit(
                "--key, --session: letters of Latin-1 only", code=EXIT_FAILED
            ) from error

    def _read_words(self, response: urllib3.BaseHTTPResponse) -> Iterator[str]:
        request = f"request {response.headers.get('X-Request-Id')}"
        try:
            yield from _read_stream(response)
        except BrokenAnswer as broken:
            raise cappa.Exit(f"broken: {broken}; {request}", code=EXIT_FAILED) from broken
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, LookupError) as error:
            message = f"broken: {self.host} broke off ({type(error).__name__}); {request}"
            raise cappa.Exit(message, code=EXIT_FAILED) from error


class BrokenAnswer(Exception):
    """The host says that the answer broke, or it has no clean end."""


def _read_stream(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    for line in response:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == DONE:
            return
        event: dict[str, Any] = msgspec.json.decode(data)
        if "error" in event:
            raise BrokenAnswer(event["error"]["message"])
        yield event["choices"][0]["delta"].get("content", "")
    raise BrokenAnswer("the answer has no clean end")


def _encode_answer(response: urllib3.BaseHTTPResponse, text: str) -> str:
    fields = {
        "request_id": response.headers.get("X-Request-Id"),
        "version": response.headers.get("X-Poplarrun-Version"),
        "answer": text,
    }
    return msgspec.json.encode(fields).decode()


def _tell_refusal(response: urllib3.BaseHTTPResponse) -> str:
    try:
        error = msgspec.json.decode(response.data)["error"]
        text = f"refused: {error['code']}: {error['message']} (not run: {error.get('not_run')})"
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError, LookupError, TypeError):
        return f"refused with {response.status}; is this a poplarrun host?"
    retry_after = response.headers.get("Retry-After")
    return text if retry_after is None else f"{text}; come back after {retry_after} s"
