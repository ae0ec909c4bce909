"""Memory that incomplete answers of all requests of this host may take."""

# Largest answer of a plain service, which is kept until it is complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class AnswerRoom:
    """Divides the room among incomplete answers: none may keep more than is left free.

    So one answer alone may fill half of the room. Many that never end keep equal parts, and a
    later one may keep half of such a part.

    Parameters
    ----------
    total : int
        Bytes that all answers may keep together.
    """

    def __init__(self, total: int) -> None:
        self._total = total
        self._kept = 0

    @property
    def free(self) -> int:
        """Bytes that no answer keeps."""
        return self._total - self._kept

    def enter(self) -> "KeptAnswer":
        """Return an answer that keeps nothing yet."""
        return KeptAnswer(self)

    def change(self, size: int) -> None:
        """Record that answers keep more bytes, or fewer."""
        self._kept += size


class KeptAnswer:
    """The bytes of one answer that wait for the rest; a context that gives them back."""

    def __init__(self, room: AnswerRoom) -> None:
        self._room = room
        self._size = 0

    def try_keep(self, size: int) -> bool:
        """Keep so many bytes in all; False, and none more, if that is too much."""
        more = size - self._size
        if more > 0 and size > min(MAX_ANSWER_BYTES, self._room.free - more):
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
