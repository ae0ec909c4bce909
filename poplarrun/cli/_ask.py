"""``poplarrun ask``: one request, its answer streamed to the terminal."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
import urllib3

from poplarrun.cli._arguments import EXIT_FAILED, read_address

OK = 200
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
TIMEOUT_S = 300.0


@dataclass
class Ask:
    """Send one request and stream the answer."""

    work_class: Annotated[str, cappa.Arg(help="The class of work.")]
    prompt: Annotated[str, cappa.Arg(help="The prompt.")]
    host: Annotated[str, cappa.Arg(long=True, parse=read_address, help="ip:port of a host.")]
    key: Annotated[str, cappa.Arg(long=True, help="API key of the client account.")]
    session: Annotated[
        str | None, cappa.Arg(long=True, help="Session id; a session keeps its version.")
    ] = None

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
        self._print_stream(response)
        print(f"\nrequest {response.headers['X-Request-Id']}", file=sys.stderr)

    def _send(self, headers: dict[str, str], body: bytes) -> urllib3.BaseHTTPResponse:
        try:
            return urllib3.request(
                "POST",
                f"http://{self.host}/v1/chat/completions",
                body=body,
                headers=headers,
                preload_content=False,
                timeout=TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            message = f"{self.host}: no answer ({type(error).__name__})"
            raise cappa.Exit(message, code=EXIT_FAILED) from error

    def _print_stream(self, response: urllib3.BaseHTTPResponse) -> None:
        for line in response:
            if not line.startswith(DATA_PREFIX):
                continue
            data = line[len(DATA_PREFIX) :].strip()
            if data == DONE:
                return
            event = msgspec.json.decode(data)
            if "error" in event:
                raise cappa.Exit(f"\nbroken: {event['error']['message']}", code=EXIT_FAILED)
            print(event["choices"][0]["delta"].get("content", ""), end="", flush=True)
        raise cappa.Exit("\nbroken: the answer has no clean end", code=EXIT_FAILED)


def _tell_refusal(response: urllib3.BaseHTTPResponse) -> str:
    try:
        error = msgspec.json.decode(response.data)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"refused with {response.status}; is this a poplarrun host?"
    text = f"refused: {error['code']}: {error['message']} (not run: {error.get('not_run')})"
    retry_after = response.headers.get("Retry-After")
    return text if retry_after is None else f"{text}; come back after {retry_after} s"
