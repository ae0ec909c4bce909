"""What callers get under load by several policies: ``python -m bench.gateway_load``."""

import sys

from bench.figures import Figure, report
from bench.gateway_world import Load, Policy, Tally, World
from poplarrun.placement import EndpointEstimate, Placement
from poplarrun.routing import InFlightRequest
from poplarrun.sizes import SizePolicy

LOADS = (
    Load("calm", (2, 2, 2), 1.0),
    Load("burst", (2, 2, 2), 1.7),
    Load("two_lost", (1, 2, 1), 1.0),
    Load("zone_cut", (1, 1, 0), 0.7),
)


class RandomPlacement(Placement):
    """A baseline: any engine."""

    def _select(self, seats: list[EndpointEstimate], work: InFlightRequest) -> EndpointEstimate:
        return self._random.choice(seats)


class LeastLoadedPlacement(Placement):
    """A baseline: the engine that runs the fewest requests, by its last word."""

    def _select(self, seats: list[EndpointEstimate], work: InFlightRequest) -> EndpointEstimate:
        return min(seats, key=lambda seat: seat.endpoint.load)


class OwnZonePlacement(Placement):
    """A baseline: engines of the own zone only."""

    def _select(self, seats: list[EndpointEstimate], work: InFlightRequest) -> EndpointEstimate:
        near = [seat for seat in seats if seat.endpoint.record.zone == self._zone]
        return super()._select(near or seats, work)


class FixedSize(SizePolicy):
    """A baseline: one model for all requests."""

    def __init__(self, place: int) -> None:
        super().__init__()
        self._place = place

    def first_size(self, work: InFlightRequest) -> str | None:
        """Return the one model."""
        return work.route.sizes[self._place]

    def escalation_size(self, work: InFlightRequest) -> str | None:
        """Ask no other one."""
        return None


POLICIES = (
    Policy("ours"),
    Policy("smallest_model", lambda: FixedSize(0)),
    Policy("middle_model", lambda: FixedSize(1)),
    Policy("largest_model", lambda: FixedSize(2)),
    Policy("random_engine", placement=RandomPlacement),
    Policy("least_loaded_engine", placement=LeastLoadedPlacement),
    Policy("own_zone_only", placement=OwnZonePlacement),
)
SEEDS = (1, 2, 3, 4)


def measure(load: Load, policy: Policy) -> Tally:
    """Return what callers got over all seeds."""
    whole = Tally()
    for seed in SEEDS:
        tally = World(load, policy, seed).play()
        for name in vars(whole):
            setattr(whole, name, getattr(whole, name) + getattr(tally, name))
    return whole


def main() -> int:
    """Run the bench; return the exit code."""
    figures = []
    for load in LOADS:
        for policy in POLICIES:
            tally = measure(load, policy)
            place = f"{load.name}_{policy.name}"
            in_time, poor = tally.in_time / tally.asked, tally.poor / tally.asked
            far = tally.far_bytes / 1e6 / len(SEEDS)
            figures.append(Figure(f"{place}_worth", round(tally.worth, 3), "share"))
            figures.append(Figure(f"{place}_good_in_time", round(in_time, 3), "share"))
            figures.append(Figure(f"{place}_poor", round(poor, 3), "share"))
            figures.append(Figure(f"{place}_far", round(far, 2), "MB"))
    return report("gateway_load", figures)


if __name__ == "__main__":
    sys.exit(main())
