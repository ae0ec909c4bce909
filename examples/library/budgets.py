"""Two hosts share one limit; the part that each may use follows its demand."""

from poplarrun.limits import Share, ShareView

ROUNDS = 60


def main() -> None:
    """Let all the demand come to the first host, round by round."""
    first, second = Share(), Share()
    for share in (first, second):
        share.raise_to(0.5)
    for _ in range(ROUNDS):
        told = first.report(), second.report()
        first.update(1.0, ShareView(own_zone=[told[1]]))
        second.update(0.0, ShareView(own_zone=[told[0]]))
        if first.usable + second.usable > 1.0:
            raise AssertionError("the hosts together exceed the limit")
    print(
        f"after {ROUNDS} rounds: first {first.usable:.2f}, second {second.usable:.2f} of the limit"
    )


if __name__ == "__main__":
    main()
