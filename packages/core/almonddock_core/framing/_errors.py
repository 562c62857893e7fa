"""Errors of the frames on a link, the connection between two hosts."""

from almonddock_core.model import AlmonddockError


class BadFrameError(AlmonddockError):
    """A frame could not be decoded; its link must be closed."""

    code = 'bad_frame'


class OversizedFrameError(BadFrameError):
    """A frame is longer than the limit."""

    code = 'oversized_frame'
