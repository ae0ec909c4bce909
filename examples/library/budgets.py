"""Two hosts share one limit; the fraction that each may use follows its demand."""

from poplarrun.limits import Share, ShareView

ROUND_COUNT = 60


def main() -> None:
    """Run rounds in which all the demand arrives at the first host."""
    first, second = Share(), Share()
    for share in (first, second):
        share.raise_to(0.5)
    for _ in range(ROUND_COUNT):
        reports = first.report(), second.report()
        first.update(1.0, ShareView(own_zone=[reports[1]]))
        second.update(0.0, ShareView(own_zone=[reports[0]]))
        if first.usable + second.usable > 1.0:
            raise AssertionError("the hosts together exceed the limit")
    print(
        f"after {ROUND_COUNT} rounds: first {first.usable:.2f}, "
        f"second {second.usable:.2f} of the limit"
    )


if __name__ == "__main__":
    main()
