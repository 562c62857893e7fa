"""What a connection has read of a reply that is not complete."""

from dataclasses import dataclass, field

#: The most header lines and trailers of one reply. A short line takes many
#: times its size on the wire in memory.
MAX_HEADERS = 256


@dataclass(slots=True)
class IncompleteReply:
    """The parts of a reply, as far as they were received."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    #: One buffer: an object for each chunk would take many times the size of a
    #: small chunk.
    body: bytearray = field(default_factory=bytearray)
    is_head_complete: bool = False
    #: Whether the reply states its end; if not, its connection ends it.
    has_length: bool = False

    @property
    def has_too_many_headers(self) -> bool:
        """Whether the reply exceeds ``MAX_HEADERS``."""
        return len(self.headers) > MAX_HEADERS
