"""``poplarrun ask``: one request, its answer streamed to the terminal."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
import urllib3

OK = 200
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
TIMEOUT_S = 300.0


@dataclass
class Ask:
    """Send one request and stream the answer.

    Attributes
    ----------
    work_class : str
        The class of work.
    prompt : str
        The prompt.
    host : str
        ``ip:port`` of a host.
    key : str
        API key of the client account.
    session : str, optional
        Session id.
    """

    work_class: str
    prompt: str
    host: Annotated[str, cappa.Arg(long=True)]
    key: Annotated[str, cappa.Arg(long=True)]
    session: Annotated[str | None, cappa.Arg(long=True)] = None

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
        response = urllib3.request(
            "POST",
            f"http://{self.host}/v1/chat/completions",
            body=msgspec.json.encode(body),
            headers=headers,
            preload_content=False,
            timeout=TIMEOUT_S,
            retries=False,
        )
        if response.status != OK:
            raise cappa.Exit(response.data.decode(), code=1)
        self._print_stream(response)
        print(f"\nrequest {response.headers['X-Request-Id']}", file=sys.stderr)

    def _print_stream(self, response: urllib3.BaseHTTPResponse) -> None:
        for line in response:
            if not line.startswith(DATA_PREFIX):
                continue
            data = line[len(DATA_PREFIX) :].strip()
            if data == DONE:
                return
            event = msgspec.json.decode(data)
            if "error" in event:
                raise cappa.Exit(f"\nbroken: {event['error']['message']}", code=1)
            print(event["choices"][0]["delta"].get("content", ""), end="", flush=True)
        raise cappa.Exit("\nbroken: the answer has no clean end", code=1)
