"""The HTTP API for the balancer, operators and the metrics collector."""

from typing import Any

import cherrypy
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from poplarrun.server._callers import CallersApi, send_json
from poplarrun.server._loop_bridge import LoopBridge
from poplarrun.server._messages import Explain, ReadMetrics, ReadReadiness, ReadStatus

OK = 200
UNAVAILABLE = 503
NOT_FOUND = 404


class RootApi:
    """``/healthz``, ``/readyz``, ``/metrics``, ``/status``, ``/explain`` and ``/v1``."""

    def __init__(self, loop: LoopBridge, callers: CallersApi) -> None:
        self.v1 = callers
        self._loop = loop

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Return 200 if the process runs and its event loop answers."""
        self._loop.ask(ReadReadiness())
        return send_json(b'{"healthy": true}')

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Return whether the balancer may send callers to this host."""
        missing = self._loop.ask(ReadReadiness())
        body = _encode({"ready": not missing, "missing": missing})
        return send_json(body, UNAVAILABLE if missing else OK)

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return bytes(self._loop.ask(ReadMetrics()))

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the status of this host."""
        return send_json(_encode(self._loop.ask(ReadStatus())))

    @cherrypy.expose
    def explain(self, request_id: str) -> bytes:
        """Return how a request was routed and why."""
        explanation = self._loop.ask(Explain(request_id))
        if explanation is None:
            return send_json(b'{"error": {"message": "not known here"}}', NOT_FOUND)
        return send_json(_encode(explanation))

    @cherrypy.expose
    def default(self, *_: str, **__: Any) -> bytes:
        """Return 404 for any other path."""
        return send_json(b'{"error": {"message": "no such path", "code": "not_found"}}', NOT_FOUND)


def _encode(value: object) -> bytes:
    return msgspec.json.encode(value)
