"""The endpoint to which prompts with the same prefix usually go."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from poplarrun.placement._endpoint_state import EndpointState
from poplarrun.placement._requests import PlacedRequest
from poplarrun.rendezvous import choose_owner, hash_name

# Homes that are remembered: those of the prefixes that requests of some minutes share.
MAX_REMEMBERED = 4000


def choose_prompt_home(
    candidates: Iterable[EndpointState], work: PlacedRequest, size: str
) -> str | None:
    """Return the instance id of a prompt's home among some endpoints; None if it shares nothing.

    Where a home is taken out of the candidates, only its own prompts get another one, and they
    return with it.
    """
    key = _find_key(work, size)
    return None if key is None else _choose_home(key, candidates)


@dataclass
class PromptHomes:
    """The homes of prompts among all listed endpoints, remembered until the list changes."""

    _homes: dict[tuple[str, int], EndpointState] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all homes, because the list of endpoints changes."""
        self._homes.clear()

    def find(
        self,
        listed: list[EndpointState],
        candidates: list[EndpointState],
        work: PlacedRequest,
        size: str,
    ) -> str | None:
        """Return the same as ``choose_prompt_home``.

        Parameters
        ----------
        listed : list of EndpointState
            All endpoints of the service, of which the candidates are some.
        """
        key = _find_key(work, size)
        if key is None:
            return None
        if len(work.request.prompt_parts) == 1:
            # The prompt shares nothing, so that its home is hardly asked for again.
            return _choose_home(key, candidates)
        remembered = (work.service, key)
        home = self._homes.get(remembered)
        if home is None:
            name = _choose_home(key, listed)
            home = next(each for each in listed if each.record.instance_id == name)
            if len(self._homes) >= MAX_REMEMBERED:
                del self._homes[next(iter(self._homes))]
            self._homes[remembered] = home
        if home in candidates:
            return home.record.instance_id
        return _choose_home(key, candidates)


def _find_key(work: PlacedRequest, size: str) -> int | None:
    """Return the hash by which a prompt's home is chosen; None if it has no parts."""
    parts = work.request.prompt_parts
    shared = parts[-2:-1] or parts[-1:]
    return hash_name(size + shared[0].key) if shared else None


def _choose_home(key: int, candidates: Iterable[EndpointState]) -> str | None:
    salts = [(endpoint.record.instance_id, endpoint.salt) for endpoint in candidates]
    return choose_owner(key, salts)
