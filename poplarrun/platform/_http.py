"""One urllib3 pool manager for all adapters of a process."""

import urllib3

CONNECTIONS_PER_ADDRESS = 64
ADDRESSES = 2000

_manager = urllib3.PoolManager(
    num_pools=ADDRESSES, maxsize=CONNECTIONS_PER_ADDRESS, block=False, retries=False
)


def pool_for() -> urllib3.PoolManager:
    """Return the pool manager; it repeats nothing on its own.

    Library retries stay off: a repeat that the retry budget does not see
    would add load in an outage, and could run an operation twice.
    """
    return _manager


def pool_of(address: str) -> urllib3.HTTPConnectionPool:
    """Return the pool of one ``ip:port``, for calls that are made very often.

    The pool manager parses the whole URL on each call, which costs as much as
    sending it.
    """
    host, _, port = address.rpartition(":")
    return _manager.connection_from_host(host, int(port))


def close_pool() -> None:
    """Close all idle connections."""
    _manager.clear()
