"""What all subcommands share: exit codes and the forms of arguments."""

import re
from typing import Annotated

import cappa

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_SILENT = 4
EXIT_INTERRUPTED = 130

EXIT_CODES = """
Exit codes: 0 done; 1 failed or refused; 2 invalid argument, document or settings; 3 conflict with
another operator's publication; 4 done, but a host or an availability zone is silent;
130 interrupted.
"""

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
HIGHEST_PORT = 65_535
TLS_SCHEME = "https://"
TLS_HELP = "https:// before it where callers speak TLS; SSL_CERT_FILE names the authority's file"


def read_address(text: str) -> str:
    """Check one ``ip:port``.

    Raises
    ------
    ValueError
        Telling what was found and what is allowed.
    """
    port = int(text.rpartition(":")[2]) if _ADDRESS.fullmatch(text) else 0
    if not 0 < port <= HIGHEST_PORT:
        raise ValueError(f"found {text!r}, an ip:port such as 10.0.0.1:8080 is needed")
    return text


def read_host_address(text: str) -> str:
    """Check a host's ``ip:port``, with ``https://`` before it where callers speak TLS."""
    scheme = TLS_SCHEME if text.startswith(TLS_SCHEME) else ""
    return scheme + read_address(text.removeprefix(scheme))


def read_addresses(text: str) -> list[str]:
    """Check a comma-separated list of hosts' addresses."""
    return [read_host_address(part.strip()) for part in text.split(",")]


LogAddress = Annotated[
    str, cappa.Arg(long="--log", parse=read_address, help="ip:port of the platform's log.")
]
HostAddresses = Annotated[
    list[str],
    cappa.Arg(
        long="--hosts",
        num_args=1,
        parse=read_addresses,
        help=f"ip:port of hosts, with commas; {TLS_HELP}.",
    ),
]


def count_noun(count: int, noun: str) -> str:
    """Return ``1 problem``, ``2 problems``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


HostAddress = Annotated[
    str, cappa.Arg(long="--host", parse=read_host_address, help=f"ip:port of a host; {TLS_HELP}.")
]

AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON, for scripts.")]
