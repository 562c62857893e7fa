"""A program that decodes damaged messages."""

import sys
from datetime import timedelta

from almonddock_core.tests.mutations import decode_mutations
from almonddock_wire import decode, encode
from almonddock_wire.tests import test_codec, test_configuration_and_membership

NOW = timedelta(seconds=5)

#: The first part of a packed message, which ended the process.
CUT = bytes.fromhex('010450020101030501')


def main(seed: int, count: int) -> None:
    """Decodes damaged messages."""
    messages = (
        *test_codec.MESSAGES,
        *test_configuration_and_membership.MESSAGES,
    )
    frames = (*(encode(message, NOW) for message in messages), CUT)
    decoded = decode_mutations(
        frames, lambda damaged: decode(damaged, NOW), seed, count
    )
    sys.stdout.write(f'{decoded} decoded')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
