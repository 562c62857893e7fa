"""As of when a host knows what the store holds."""

from datetime import timedelta


class Freshness:
    """The moment as of which the entries read from the store are whole.

    An answer of the store holds everything that was confirmed before its call
    was sent, so that moment counts and not its arrival. All times are of one
    clock, which has to count the time in which the machine was suspended.
    """

    def __init__(self) -> None:
        #: None before the first answer.
        self.as_of: timedelta | None = None

    def note(self, as_of: timedelta | None) -> None:
        """Records that everything confirmed before a moment was applied.

        None, for an answer that does not say, changes nothing.
        """
        if as_of is None:
            return
        self.as_of = as_of if self.as_of is None else max(as_of, self.as_of)

    def get_age(self, now: timedelta) -> timedelta | None:
        """Returns how old the knowledge is, None before the first answer."""
        return None if self.as_of is None else now - self.as_of

    def shows(self, moment: timedelta) -> bool:
        """Whether everything confirmed before a moment is known."""
        return self.as_of is not None and self.as_of >= moment
