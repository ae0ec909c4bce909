"""Two hosts claim one idempotency key; the first in offset order may send the call."""

from poplarrun.claims import Claim, ClaimFold, Won, compute_fingerprint, encode_batch, shard_of
from poplarrun.claims import stream_of as name_stream
from poplarrun.log import MemoryLog, StreamReader


def main() -> None:
    """Claim at two hosts, fold, and judge both claims."""
    log = MemoryLog()
    stream = name_stream(shard_of("shop", "reserve-1881"))
    body = compute_fingerprint("stock", "reserve", b"{}")
    claims = [
        Claim(f"req-{host}", "shop", "reserve-1881", body, host, 1, 1_000_000.0)
        for host in ("a1", "b1")
    ]
    for claim in claims:
        log.append(stream, encode_batch([claim]))
    fold = ClaimFold()
    for entry in StreamReader(log, stream).read_new():
        fold.fold(entry)
    won = [claim.host for claim in claims if isinstance(fold.judge(claim), Won)]
    print(f"one winner: {won[0]}" if len(won) == 1 else f"not one winner: {won}")


if __name__ == "__main__":
    main()
