"""Late, repeated and out-of-order chunks become one answer."""

from poplarrun.clients import Chunk

# An engine that runs so far ahead of a missing chunk has lost it for good.
MAX_HELD_CHUNKS = 1000


class Reassembly:
    """Gives out the text of each position once, in order.

    Attributes
    ----------
    next_position : int
        The position that is missing next; a resumed stream starts there.
    """

    def __init__(self) -> None:
        self.next_position = 0
        self._held: dict[int, str] = {}

    @property
    def has_gap(self) -> bool:
        """Whether chunks are held behind a missing one."""
        return bool(self._held)

    @property
    def is_overfull(self) -> bool:
        """Whether so much is held that the missing chunk must be asked for again."""
        return len(self._held) > MAX_HELD_CHUNKS

    def add(self, chunk: Chunk) -> str:
        """Take one chunk; return the text that can be given out now."""
        if chunk.position < self.next_position:
            return ""
        if chunk.position == self.next_position and not self._held:
            self.next_position += 1
            return chunk.text
        self._held[chunk.position] = chunk.text
        text = ""
        while self.next_position in self._held:
            text += self._held.pop(self.next_position)
            self.next_position += 1
        return text

    def drop_held(self) -> None:
        """Forget what is held, before a stream is resumed at ``next_position``."""
        self._held.clear()
