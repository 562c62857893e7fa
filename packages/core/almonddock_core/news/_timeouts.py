"""How long a reply of the store is waited for."""

from datetime import timedelta

#: The timeout is this many times the time that the last reply took, and grows
#: by this factor when a reply does not come within it.
GROWTH = 2


class ReplyTimeout:
    """A timeout that grows while replies are slow.

    With a fixed one, a store that always takes longer would never be read: the
    call starts again each time. It shrinks with the first quick reply, so that
    a store that stops answering is noticed as soon as usual.
    """

    def __init__(self, least: timedelta, most: timedelta) -> None:
        """Starts with ``least``."""
        self._least = least
        self._most = most
        #: The timeout of the next call.
        self.current = least

    def record_reply(self, taken: timedelta) -> None:
        """Records how long a reply took."""
        self.current = min(max(taken * GROWTH, self._least), self._most)

    def record_timeout(self, used: timedelta) -> None:
        """Records that no reply came within a timeout.

        Calls side by side that have used the same one let it grow once.
        """
        self.current = max(self.current, min(used * GROWTH, self._most))
