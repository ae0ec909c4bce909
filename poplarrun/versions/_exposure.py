"""A host's budget of requests to versions that are being rolled out."""

from poplarrun.versions._evidence import CellKey
from poplarrun.versions._rollouts import RolloutTable, format_process_name


class ExposureBudget:
    """The remaining shares of one host. A request is counted before it is sent.

    Parameters
    ----------
    host : str
        This host's name.
    incarnation : int
        As in its ``Peer``.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self._process_name = format_process_name(host, incarnation)
        self._used: dict[CellKey, int] = {}
        self._granted: dict[CellKey, int] = {}

    def apply(self, rollouts: RolloutTable) -> None:
        """Apply the shares that the log grants to this host."""
        self._granted = {
            key: state.shares[self._process_name]
            for key, state in rollouts.states.items()
            if self._process_name in state.shares and not state.rejected
        }
        # A roll-out that was closed and starts again starts with an unused share.
        self._used = {key: used for key, used in self._used.items() if key in rollouts.states}

    def remaining(self, key: CellKey) -> int:
        """Return how many more requests this host may send to a version in roll-out."""
        return self._granted.get(key, 0) - self._used.get(key, 0)

    def consume(self, key: CellKey) -> None:
        """Count one request that is sent to a version in roll-out."""
        self._used[key] = self._used.get(key, 0) + 1
