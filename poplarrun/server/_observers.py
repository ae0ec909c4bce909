"""What the balancer, operators and the metrics collector ask of one host."""

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

    def __init__(self, crossing: LoopBridge, callers: CallersApi) -> None:
        self.v1 = callers
        self._crossing = crossing

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Tell that the process runs and its loop answers."""
        self._crossing.ask(ReadReadiness())
        return send_json(b'{"healthy": true}')

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Tell the balancer whether callers may come."""
        missing = self._crossing.ask(ReadReadiness())
        body = _encode({"ready": not missing, "missing": missing})
        return send_json(body, UNAVAILABLE if missing else OK)

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Give out the metrics as Prometheus text."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return bytes(self._crossing.ask(ReadMetrics()))

    @cherrypy.expose
    def status(self) -> bytes:
        """Tell what this host knows."""
        return send_json(_encode(self._crossing.ask(ReadStatus())))

    @cherrypy.expose
    def explain(self, request_id: str) -> bytes:
        """Tell why a request went where it went."""
        explanation = self._crossing.ask(Explain(request_id))
        if explanation is None:
            return send_json(b'{"error": {"message": "not known here"}}', NOT_FOUND)
        return send_json(_encode(explanation))

    @cherrypy.expose
    def default(self, *_: str, **__: Any) -> bytes:
        """Answer any other path."""
        return send_json(b'{"error": {"message": "no such path", "code": "not_found"}}', NOT_FOUND)


def _encode(value: object) -> bytes:
    return msgspec.json.encode(value)
