"""Two hosts claim one idempotency key; the lower log offset wins and may send the call."""

from poplarrun.claims import Claim, ClaimFold, Won, compute_fingerprint, encode_batch, shard_of
from poplarrun.claims import stream_of as name_stream
from poplarrun.log import MemoryLog, StreamReader


def main() -> None:
    """Append a claim from each host, fold the stream, and print the winner."""
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
    winners = [claim.host for claim in claims if isinstance(fold.judge(claim), Won)]
    print(
        f"one winner: {winners[0]}"
        if len(winners) == 1
        else f"expected one winner, found: {winners}"
    )


if __name__ == "__main__":
    main()
