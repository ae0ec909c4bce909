"""One urllib3 pool manager for all adapters of a process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

CONNECTIONS_PER_ADDRESS = 64
ADDRESSES = 2000


@dataclass(frozen=True, slots=True)
class PlatformTls:
    """Certificates for the way to the platform and to model engines.

    Attributes
    ----------
    authority : Path
        Certificates that the servers' must descend from.
    identity : Path, optional
        This host's certificate and key in one PEM file, where the servers ask.
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
    return urllib3.PoolManager(
        num_pools=ADDRESSES, maxsize=CONNECTIONS_PER_ADDRESS, block=False, retries=False, **options
    )


_manager = _make_manager(None)
_scheme = "http"


def use_tls(tls: PlatformTls) -> None:
    """Make every call from now on over TLS; called again, it takes new certificates up."""
    global _manager, _scheme
    old, _manager, _scheme = _manager, _make_manager(tls), "https"
    old.clear()


def use_plain_http() -> None:
    """Make every call from now on without TLS."""
    global _manager, _scheme
    _manager, _scheme = _make_manager(None), "http"


def base_url(address: str) -> str:
    """Return the beginning of an address's URLs."""
    return f"{_scheme}://{address}"


def get_pool_manager() -> urllib3.PoolManager:
    """Return the pool manager; it repeats nothing on its own.

    Library retries stay off: a repeat that the retry budget does not see
    would add load in an outage, and could run an operation twice.
    """
    return _manager


def pool_for_address(address: str) -> urllib3.HTTPConnectionPool:
    """Return the pool of one ``ip:port``, for calls that are made very often.

    The pool manager parses the whole URL on each call, which is a tenth or more
    of what a small call costs.
    """
    host, _, port = address.rpartition(":")
    return _manager.connection_from_host(host, int(port), scheme=_scheme)


def close_pool() -> None:
    """Close all idle connections."""
    _manager.clear()
