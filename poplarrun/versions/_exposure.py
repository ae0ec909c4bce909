"""How much of its share of each roll-out a host has used."""

from poplarrun.versions._evidence import CellKey
from poplarrun.versions._rollouts import RolloutTable, format_process_name


class ExposureBudget:
    """The shares of one host; a request is counted before it is sent.

    Parameters
    ----------
    host : str
        This host's name.
    incarnation : int
        As in its ``Peer``.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self._holder = format_process_name(host, incarnation)
        self._used: dict[CellKey, int] = {}
        self._granted: dict[CellKey, int] = {}

    def apply(self, rollouts: RolloutTable) -> None:
        """Take over the shares that the log grants to this host."""
        self._granted = {
            key: state.shares[self._holder]
            for key, state in rollouts.states.items()
            if self._holder in state.shares and not state.rejected
        }
        # A closed roll-out that begins anew begins with an unused share.
        self._used = {key: used for key, used in self._used.items() if key in rollouts.states}

    def remaining(self, key: CellKey) -> int:
        """Return how many more requests this host may expose."""
        return self._granted.get(key, 0) - self._used.get(key, 0)

    def consume(self, key: CellKey) -> None:
        """Count one request that is exposed."""
        self._used[key] = self._used.get(key, 0) + 1
