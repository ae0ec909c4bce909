"""Memory that answers of all requests of this host may take, incomplete or not sent."""

from collections.abc import Callable

# Largest answer of a plain service, which is kept until it is complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Bytes of a stream that are kept for a caller that reads slowly. An endpoint cuts off an answer
# that its host does not read for some seconds, so the host goes on reading it for so long.
MAX_STREAM_BYTES = 1024 * 1024
# Bytes of a stream that are kept for each slow caller also while there is no room. They are part of
# the memory that an open request is counted with.
MIN_STREAM_BYTES = 32 * 1024
# Fraction of the room that answers may take whose callers read slowly, before streams wait for
# their callers. The rest is for answers that are incomplete: the largest one still has room in a
# host of 150 MB.
UNSENT_FRACTION = 0.25


def free_nothing(_: int) -> None:
    """Free nothing; for rooms without callers."""


class AnswerRoom:
    """Divides the room among incomplete answers: none may keep more than is left free.

    So one answer alone may fill half of the room. Many that never end keep equal parts, and a
    later one may keep half of such a part.

    Parameters
    ----------
    total : int
        Bytes that all answers may keep together.

    Attributes
    ----------
    unsent : int
        Bytes kept for callers until they read more.
    free_unsent : callable
        Called with the bytes that an incomplete answer lacks, to end answers whose callers have
        stopped reading.
    """

    def __init__(self, total: int) -> None:
        self._total = total
        self._kept = 0
        self.unsent = 0
        self.free_unsent: Callable[[int], None] = free_nothing

    @property
    def free(self) -> int:
        """Bytes that no answer keeps."""
        return self._total - self._kept - self.unsent

    @property
    def kept(self) -> int:
        """Bytes that incomplete answers keep."""
        return self._kept

    def resize(self, total: int) -> None:
        """Change the bytes that all answers may keep together."""
        self._total = total

    def enter(self) -> "KeptAnswer":
        """Return an answer that keeps nothing yet."""
        return KeptAnswer(self)

    def change(self, size: int) -> None:
        """Record that incomplete answers keep more bytes, or fewer."""
        self._kept += size

    def change_unsent(self, size: int) -> None:
        """Record that more bytes, or fewer, wait for callers to read."""
        self.unsent += size

    def may_keep_unsent(self, size: int) -> bool:
        """Return whether more of a stream may be kept for a caller for which so much is."""
        if size < MIN_STREAM_BYTES:
            return True
        room = min(UNSENT_FRACTION * self._total - self.unsent, self.free)
        return size < min(MAX_STREAM_BYTES, room)


class KeptAnswer:
    """The bytes of one answer that wait for the rest; a context that gives them back."""

    def __init__(self, room: AnswerRoom) -> None:
        self._room = room
        self._size = 0

    def try_keep(self, size: int) -> bool:
        """Keep so many bytes in all; False, and none more, if that is too much."""
        more = size - self._size
        if more > 0 and size > MAX_ANSWER_BYTES:
            return False
        lacking = size + more - self._room.free
        if more > 0 and lacking > 0:
            self._room.free_unsent(lacking)
            if size + more > self._room.free:
                return False
        self._resize(size)
        return True

    def __enter__(self) -> "KeptAnswer":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._resize(0)

    def _resize(self, size: int) -> None:
        self._room.change(size - self._size)
        self._size = size
