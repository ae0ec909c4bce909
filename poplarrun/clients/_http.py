"""The urllib3 pool manager that all clients of the process share."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from poplarrun.clients._connections import PlainPool, TlsPool

MAX_CONNECTIONS_PER_ADDRESS = 64
MAX_POOLS = 2000


@dataclass(frozen=True, slots=True)
class PlatformTls:
    """Certificates for TLS to the platform, model engines or plain services.

    Attributes
    ----------
    authority : Path
        Certificates of the authorities that must have issued the servers' certificates.
    identity : Path, optional
        This host's client certificate and private key in one PEM file, for servers that
        ask for one.
    """

    authority: Path
    identity: Path | None = None


def _make_manager(tls: PlatformTls | None) -> urllib3.PoolManager:
    options: dict[str, Any] = {}
    if tls is not None:
        identity = None if tls.identity is None else str(tls.identity)
        options = {
            "cert_reqs": "CERT_REQUIRED",
            "ca_certs": str(tls.authority),
            "cert_file": identity,
        }
    manager = urllib3.PoolManager(
        num_pools=MAX_POOLS,
        maxsize=MAX_CONNECTIONS_PER_ADDRESS,
        block=False,
        retries=False,
        **options,
    )
    manager.pool_classes_by_scheme = {"http": PlainPool, "https": TlsPool}
    return manager


_manager = _make_manager(None)
_scheme = "http"


def use_tls(tls: PlatformTls) -> None:
    """Use TLS for all further calls; called again, it loads renewed certificates."""
    global _manager, _scheme
    old, _manager, _scheme = _manager, _make_manager(tls), "https"
    old.clear()


def use_plain_http() -> None:
    """Use plain HTTP for all further calls."""
    global _manager, _scheme
    _manager, _scheme = _make_manager(None), "http"


def base_url(address: str) -> str:
    """Return the scheme and authority of the URLs at an ``ip:port``."""
    return f"{_scheme}://{address}"


def get_pool_manager() -> urllib3.PoolManager:
    """Return the shared pool manager, which never retries.

    The library's retries are off: retries outside of the retry budget would add load during
    an outage, and could execute an operation twice.
    """
    return _manager


def pool_for_address(address: str) -> urllib3.HTTPConnectionPool:
    """Return the connection pool of one ``ip:port``, for very frequent calls.

    It saves the pool manager's parsing of the whole URL on each call, which is a tenth or
    more of the cost of a small call.
    """
    host, _, port = address.rpartition(":")
    return _manager.connection_from_host(host, int(port), scheme=_scheme)


def close_pool() -> None:
    """Close all idle connections."""
    _manager.clear()
