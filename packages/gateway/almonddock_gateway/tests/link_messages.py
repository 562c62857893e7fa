"""One message of each kind, and a program that decodes damaged ones."""

import sys
from dataclasses import replace
from datetime import timedelta

from almonddock_core.dispatch import LoanOffer
from almonddock_core.model import join_revision
from almonddock_core.model._store_revision import MAX_ERA, MAX_NUMBER
from almonddock_core.quotas import CreditQuery, CreditReply
from almonddock_core.tests.mutations import decode_mutations
from almonddock_gateway.links import decode, encode
from almonddock_gateway.relays import (
    GrantQuery,
    GrantReply,
    Leaving,
    PartFailure,
    Ping,
    Pong,
    RelayCancel,
    RelayReply,
    StoreOutcome,
    StoreQuery,
    StoreReply,
)
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.tests.relay_cases import (
    MS,
    make_query,
)

MESSAGES = (
    Ping(3),
    Pong(4),
    Ping(5, b'counts'),
    Pong(6, b'counts'),
    Leaving(),
    make_query('t1', 't2', threshold=b'x' * 16),
    RelayCancel(7, (1, 2)),
    RelayReply(
        7,
        (0, 2),
        (b's0', b's2'),
        (3 * MS, 4 * MS),
        b'records',
        ((1, PartFailure.REFUSED),),
        costs=(('t1', 1.5), ('t2', 12.0)),
    ),
    replace(make_query('t1'), typical_latency=25 * MS),
    replace(make_query('t1'), delay=timedelta()),
    replace(make_query('t1'), delay=250 * MS),
    StoreQuery(1, 'prefix/', None, timedelta()),
    StoreQuery(1, 'prefix/', 0, 3000 * MS, costs=(('t1', 3.0),)),
    StoreReply(
        1,
        StoreOutcome.ANSWERED,
        StoreView(
            [StoreItem('a', b'x', 1), StoreItem('b', None, 2)],
            9,
            has_more=True,
        ),
        view_age=-3 * MS,
        costs=(('t1', 3.0),),
        clock=5000 * MS,
    ),
    StoreQuery(3, '', join_revision(MAX_ERA, MAX_NUMBER), MS),
    StoreQuery(4, '', 7, MS, knows_eras=False),
    StoreReply(
        3,
        StoreOutcome.ANSWERED,
        StoreView(
            [StoreItem('a', b'x', join_revision(2, 1))], join_revision(2, 9)
        ),
    ),
    StoreReply(4, StoreOutcome.ANSWERED, StoreView([], 9), knows_eras=False),
    CreditQuery(4, 'north', 3, 2000 * MS),
    CreditReply(4, 'north', 2, 40 * MS, grants=True),
    StoreQuery(2, 'prefix/', 3, MS, offer=LoanOffer(1.25, 5000 * MS)),
    GrantQuery(3, ('shard-1', 'shard-2')),
    GrantReply(3, (1,)),
)

#: Messages in the packed encoding: a ping, a cancel and a store query.
PACKED = (
    bytes.fromhex('100450020101030001'),
    bytes.fromhex('1007500201000001045001010107110113050102'),
    bytes.fromhex('100b500201000001065003030101000111094200017f7072656669782f'),
)

#: The first part of a packed message, which ended the process.
CUT_PACKED = bytes.fromhex('010450020101030501')


def main(seed: int, count: int) -> None:
    """Decodes damaged messages."""
    whole = [encode(message) for message in MESSAGES]
    frames = (*whole, *PACKED, CUT_PACKED)
    decoded = decode_mutations(frames, decode, seed, count)
    sys.stdout.write(f'{decoded} decoded')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
