"""``poplarrun ask``: sends one request and streams its answer to the terminal."""

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
END_OF_STREAM = b"[DONE]"
TIMEOUT_S = 300.0


@dataclass
class Ask:
    """Send one request and stream the answer."""

    work_class: Annotated[str, cappa.Arg(help="The work class.")]
    prompt: Annotated[str, cappa.Arg(help="The prompt.")]
    host: HostAddress
    key: Annotated[str, cappa.Arg(long=True, help="API key of the client account.")]
    session: Annotated[
        str | None, cappa.Arg(long=True, help="Session id; a session stays on its version.")
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
            raise cappa.Exit(_format_refusal(response), code=EXIT_FAILED)
        pieces = self._read_pieces(response)
        if self.json:
            print(_encode_answer(response, "".join(pieces)))
            return
        for piece in pieces:
            print(piece, end="", flush=True)
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
                "--key, --session: only Latin-1 characters are allowed", code=EXIT_FAILED
            ) from error

    def _read_pieces(self, response: urllib3.BaseHTTPResponse) -> Iterator[str]:
        request = f"request {response.headers.get('X-Request-Id')}"
        try:
            yield from _read_stream(response)
        except IncompleteAnswer as reason:
            raise cappa.Exit(
                f"incomplete answer: {reason}; {request}", code=EXIT_FAILED
            ) from reason
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, LookupError) as error:
            message = (
                f"incomplete answer: {self.host} broke off ({type(error).__name__}); {request}"
            )
            raise cappa.Exit(message, code=EXIT_FAILED) from error


class IncompleteAnswer(Exception):
    """The host reported an error within the stream, or the stream has no end marker."""


def _read_stream(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    for line in response:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        event: dict[str, Any] = msgspec.json.decode(data)
        if "error" in event:
            raise IncompleteAnswer(event["error"]["message"])
        yield event["choices"][0]["delta"].get("content", "")
    raise IncompleteAnswer("the stream ended without its end marker")


def _encode_answer(response: urllib3.BaseHTTPResponse, text: str) -> str:
    fields = {
        "request_id": response.headers.get("X-Request-Id"),
        "version": response.headers.get("X-Poplarrun-Version"),
        "answer": text,
    }
    return msgspec.json.encode(fields).decode()


def _format_refusal(response: urllib3.BaseHTTPResponse) -> str:
    try:
        error = msgspec.json.decode(response.data)["error"]
        text = f"refused: {error['code']}: {error['message']} (not run: {error.get('not_run')})"
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError, LookupError, TypeError):
        return f"refused with status {response.status}; is this a poplarrun host?"
    retry_after = response.headers.get("Retry-After")
    return text if retry_after is None else f"{text}; retry after {retry_after} s"
