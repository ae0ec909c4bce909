"""Exit codes and argument types that the subcommands share."""

import re
from typing import Annotated

import cappa

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NO_RESPONSE = 4
EXIT_INTERRUPTED = 130

EXIT_CODES = """
Exit codes: 0 success; 1 failed or refused; 2 invalid argument, document or settings; 3 conflict
with another operator's publication; 4 done, but a host or an availability zone did not respond;
130 interrupted.
"""

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
MAX_PORT = 65_535
TLS_SCHEME = "https://"
TLS_HELP = "prefixed with https:// if the host uses TLS; SSL_CERT_FILE names the CA certificate"


def parse_address(text: str) -> str:
    """Validate an ``ip:port`` and return it.

    Raises
    ------
    ValueError
        When the text is not an IPv4 address with a port, saying what was found.
    """
    port = int(text.rpartition(":")[2]) if _ADDRESS.fullmatch(text) else 0
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"found {text!r}, expected an ip:port such as 10.0.0.1:8080")
    return text


def parse_host_address(text: str) -> str:
    """Validate a host's ``ip:port``, which may be prefixed with ``https://``."""
    scheme = TLS_SCHEME if text.startswith(TLS_SCHEME) else ""
    return scheme + parse_address(text.removeprefix(scheme))


def parse_host_addresses(text: str) -> list[str]:
    """Validate and split a comma-separated list of host addresses."""
    return [parse_host_address(part.strip()) for part in text.split(",")]


LogAddress = Annotated[
    str, cappa.Arg(long="--log", parse=parse_address, help="ip:port of the platform's log.")
]
HostAddresses = Annotated[
    list[str],
    cappa.Arg(
        long="--hosts",
        num_args=1,
        parse=parse_host_addresses,
        help=f"ip:port of hosts, separated by commas; {TLS_HELP}.",
    ),
]


def count_noun(count: int, noun: str) -> str:
    """Return a count with its noun, such as ``1 problem`` or ``2 problems``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


HostAddress = Annotated[
    str, cappa.Arg(long="--host", parse=parse_host_address, help=f"ip:port of a host; {TLS_HELP}.")
]

AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON, for scripts.")]
