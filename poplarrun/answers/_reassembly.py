"""Reassembles an answer from late, repeated and out-of-order chunks."""

from poplarrun.clients import Chunk

# Number of chunks buffered behind a missing one from which that one is considered lost.
MAX_BUFFERED_CHUNKS = 1000


class Reassembly:
    """Returns the text of each position once, in order.

    Attributes
    ----------
    next_position : int
        The first position that hasn't arrived; a resumed stream starts there.
    """

    def __init__(self) -> None:
        self.next_position = 0
        self._buffered: dict[int, str] = {}

    @property
    def has_gap(self) -> bool:
        """Whether chunks are buffered behind a missing one."""
        return bool(self._buffered)

    @property
    def is_buffer_full(self) -> bool:
        """Whether the missing chunk is considered lost and must be requested again."""
        return len(self._buffered) > MAX_BUFFERED_CHUNKS

    def add(self, chunk: Chunk) -> str:
        """Add a chunk; return the text that is complete up to the next gap."""
        if chunk.position < self.next_position:
            return ""
        if chunk.position == self.next_position and not self._buffered:
            self.next_position += 1
            return chunk.text
        self._buffered[chunk.position] = chunk.text
        text = ""
        while self.next_position in self._buffered:
            text += self._buffered.pop(self.next_position)
            self.next_position += 1
        return text

    def discard_buffered(self) -> None:
        """Discard the buffered chunks, before a stream is resumed at ``next_position``."""
        self._buffered.clear()
