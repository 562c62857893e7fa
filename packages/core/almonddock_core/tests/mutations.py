"""Damaged frames, and processes that decode them.

A native decoder may end the process where nothing can catch it, so damaged
frames are decoded in a process of their own.
"""

import random
import subprocess
import sys
from collections.abc import Callable, Sequence

from almonddock_core.framing import BadFrameError

WORD_BYTES = 8

#: The most changes to one frame.
MAX_CHANGES = 4


def mutate(chooser: random.Random, frames: Sequence[bytes]) -> bytes:
    """Returns a frame with some changes, any of which may be a cut."""
    frame = chooser.choice(frames)
    for _ in range(chooser.randint(1, MAX_CHANGES)):
        change = chooser.choice(_CHANGES)
        frame = change(chooser, frame)
    return frame


def decode_mutations(
    frames: Sequence[bytes],
    decode: Callable[[bytes], object],
    seed: int,
    count: int,
) -> int:
    """Decodes cuts and mutations of frames; returns how many were decoded.

    An error other than :class:`BadFrameError` ends it.
    """
    chooser = random.Random(seed)
    cuts = [frame[:size] for frame in frames for size in range(len(frame) + 1)]
    mutations = (mutate(chooser, frames) for _ in range(count))
    decoded = 0
    for damaged in (*cuts, *mutations):
        try:
            decode(damaged)
        except BadFrameError:
            continue
        decoded += 1
    return decoded


def run_module(module: str, *arguments: str) -> tuple[int, str]:
    """Runs a module in a process; returns its exit code and its output."""
    ended = subprocess.run(
        (sys.executable, '-m', module, *arguments),
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    return ended.returncode, ended.stdout


def _choose_position(chooser: random.Random, frame: bytes) -> int:
    """Returns the start of a word, or in one of four cases any position."""
    position = chooser.randrange(len(frame) + 1)
    if chooser.randrange(4):
        return position // WORD_BYTES * WORD_BYTES
    return position


def _set_byte(chooser: random.Random, frame: bytes) -> bytes:
    position = chooser.randrange(len(frame) + 1)
    return frame[:position] + chooser.randbytes(1) + frame[position + 1 :]


def _flip_bit(chooser: random.Random, frame: bytes) -> bytes:
    bits = int.from_bytes(frame, 'big')
    flipped = bits ^ (1 << chooser.randrange(8 * len(frame) or 1))
    return flipped.to_bytes(len(frame) or 1, 'big')


def _set_word(chooser: random.Random, frame: bytes) -> bytes:
    start = _choose_position(chooser, frame)
    word = chooser.randbytes(WORD_BYTES)
    return frame[:start] + word + frame[start + WORD_BYTES :]


def _copy_word(chooser: random.Random, frame: bytes) -> bytes:
    start = _choose_position(chooser, frame)
    source = _choose_position(chooser, frame)
    word = frame[source : source + WORD_BYTES]
    return frame[:start] + word + frame[start + WORD_BYTES :]


def _cut(chooser: random.Random, frame: bytes) -> bytes:
    return frame[: _choose_position(chooser, frame)]


def _remove_word(chooser: random.Random, frame: bytes) -> bytes:
    start = _choose_position(chooser, frame)
    return frame[:start] + frame[start + WORD_BYTES :]


def _insert_word(chooser: random.Random, frame: bytes) -> bytes:
    start = _choose_position(chooser, frame)
    return frame[:start] + chooser.randbytes(WORD_BYTES) + frame[start:]


_CHANGES = (
    _set_byte,
    _flip_bit,
    _set_word,
    _copy_word,
    _cut,
    _remove_word,
    _insert_word,
)
