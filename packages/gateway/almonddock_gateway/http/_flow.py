"""Flow control of connections whose peer may stop reading."""

import asyncio


class FlowControlledProtocol(asyncio.Protocol):
    """Stops reading while the peer does not read what was written."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        #: Whether written bytes wait for the peer to read.
        self._is_paused = False

    @property
    def unread_bytes(self) -> int:
        """The written bytes that the peer has not read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Closes the connection immediately, even during an exchange."""
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Stops reading; called once many written bytes wait."""
        self._is_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads again; called once few written bytes wait."""
        self._is_paused = False
        if self._transport is not None:
            self._transport.resume_reading()
        self._start_next()

    def _start_next(self) -> None:
        """Goes on with the work that was held back."""
