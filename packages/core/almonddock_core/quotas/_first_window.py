"""What a process may grant before it knows what earlier ones have granted."""

from datetime import timedelta


class FirstWindow:
    """The first window of a process, and its start part.

    The start part is kept out of all other parts. Only one process of a host
    uses it within a window; the registration of the host tells the next one.
    """

    def __init__(self, started: timedelta, length: timedelta) -> None:
        """Starts without knowing whether the start part may be used."""
        self._started = started
        self._length = length
        #: None until the registration of the last process has been read.
        self.has_part: bool | None = None

    def note_part(self, *, is_usable: bool) -> None:
        """Notes whether this process may use the start part.

        It may if no earlier process can have used it within a window, and
        once the registration tells the next one that this process may have.
        """
        self.has_part = is_usable

    def includes(self, now: timedelta) -> bool:
        """Whether an earlier process may have granted within a window."""
        return now - self._started < self._length

    def is_recent(self, now: timedelta) -> bool:
        """Whether the start part may have been used within a window.

        It may be used until the end of the first window.
        """
        return now - self._started < 2 * self._length

    def find_wait(self, now: timedelta) -> timedelta:
        """Returns the time until it is over."""
        return max(timedelta(), self._started + self._length - now)
