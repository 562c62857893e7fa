"""How many bytes a target may send for one request."""

#: The size limit of all that a target sends for one request; a reply is kept in
#: memory until it is complete, and a longer one fails.
MAX_REPLY_BYTES = 0x1000000

#: The size limit of what is not body: heads, interim replies, replies to other
#: requests, chunk sizes and trailers. A target in trouble may send them without
#: end, and a complete reply needs a fraction of this.
MAX_OVERHEAD_BYTES = 0x10000

#: Further overhead allowed for each byte of the body: a chunk of one byte takes
#: five bytes of framing.
CHUNK_OVERHEAD = 6


def is_oversized(
    received_bytes: int,
    body_bytes: int,
    max_bytes: int = MAX_REPLY_BYTES,
) -> bool:
    """Whether a server has sent more than any reply takes.

    ``received_bytes`` are all since the request was sent, ``body_bytes`` those
    of bodies; ``max_bytes`` bounds the former.
    """
    overhead = received_bytes - body_bytes
    allowed = MAX_OVERHEAD_BYTES + CHUNK_OVERHEAD * body_bytes
    return overhead > allowed or received_bytes > max_bytes
