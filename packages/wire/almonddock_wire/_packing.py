"""Unpacks encoded messages, with checked bounds.

The decoder of packed messages in pycapnp ends the process when a message is
cut short. Packed messages are short, so links between hosts use them.
"""

from almonddock_core.framing import MAX_FRAME_BYTES, BadFrameError

WORD_BYTES = 8

#: The tags of a word, whose bits name the bytes that are not zero.
ZERO_TAG = 0
FULL_TAG = 0xFF

#: The bytes of a word that are not zero, by its tag.
_POSITIONS = tuple(
    tuple(bit for bit in range(WORD_BYTES) if tag & 1 << bit)
    for tag in range(FULL_TAG + 1)
)


def unpack(packed: bytes) -> bytes:
    """Returns the words of a packed message.

    Raises:
        BadFrameError: the message is cut short, or is longer than a frame.
    """
    words = bytearray()
    position = 0
    while position < len(packed):
        try:
            position = _unpack_words(packed, position, words)
        except IndexError as cut:
            raise BadFrameError('a packed frame is cut short') from cut
        if len(words) > MAX_FRAME_BYTES:
            raise BadFrameError('a packed frame is too long')
    return bytes(words)


def _unpack_words(packed: bytes, position: int, words: bytearray) -> int:
    """Appends the words of one tag; returns the position after them."""
    tag = packed[position]
    position += 1
    if tag == ZERO_TAG:
        words += bytes(WORD_BYTES * (packed[position] + 1))
        return position + 1
    if tag == FULL_TAG:
        start = position + WORD_BYTES + 1
        end = start + WORD_BYTES * packed[start - 1]
        if end > len(packed):
            raise BadFrameError('a packed frame is cut short')
        words += packed[position : start - 1]
        words += packed[start:end]
        return end
    word = bytearray(WORD_BYTES)
    for byte in _POSITIONS[tag]:
        word[byte] = packed[position]
        position += 1
    words += word
    return position
