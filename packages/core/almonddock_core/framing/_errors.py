"""Errors of the link protocol."""

from almonddock_core.model import AlmonddockError


class BadFrameError(AlmonddockError):
    """A frame could not be decoded; its link must be closed."""

    code = 'bad_frame'


class OversizedFrameError(BadFrameError):
    """A frame is longer than the limit."""

    code = 'oversized_frame'
