import random
import unittest

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.deployment import MergeRule
from almonddock_core.model import ShardId
from almonddock_core.truth import BadRowsError, merge_partial, merge_rows

RULES = (
    MergeRule('concatenate'),
    MergeRule('top_k', 'f', 3),
    MergeRule('top_k', 'f'),
    MergeRule('sum', 'f'),
    MergeRule('count'),
)
NUMBERS = st.one_of(
    st.integers(-(2**63), 2**63),
    st.floats(-1e300, 1e300),
    st.sampled_from([0.1, 0.2, 1e16, -1e16, 1.0]),
)
ROWS = st.lists(
    st.fixed_dictionaries({'f': NUMBERS, 'tag': st.integers(0, 99)}),
    max_size=6,
).map(orjson.dumps)
PARTS = st.dictionaries(
    st.text('abcdef', min_size=1, max_size=2).map(ShardId),
    ROWS,
    max_size=6,
)


class MergeTest(unittest.TestCase):
    def test_merges_by_rule(self) -> None:
        parts = {
            ShardId('b'): b'[{"f": 2, "n": 1}, {"f": 1}]',
            ShardId('a'): b' [{"f": 2, "n": 0}] ',
            ShardId('c'): b'[]',
        }
        cases = (
            (
                MergeRule('concatenate'),
                b'[{"f": 2, "n": 0},{"f": 2, "n": 1}, {"f": 1}]',
            ),
            (
                MergeRule('top_k', 'f', 2),
                b'[{"f":2,"n":0},{"f":2,"n":1}]',
            ),
            (MergeRule('sum', 'f'), b'5'),
            (MergeRule('count'), b'3'),
        )
        for rule, expected in cases:
            with self.subTest(rule=rule):
                self.assertEqual(merge_rows(rule, parts), expected)

    def test_refuses_rows_that_do_not_fit_the_rule(self) -> None:
        cases = (
            (MergeRule('concatenate'), b'[1'),
            (MergeRule('concatenate'), b'7'),
            (MergeRule('top_k', 'f', 1), b'[1]'),
            (MergeRule('sum', 'f'), b'[{"f": "1"}]'),
            (MergeRule('sum', 'f'), b'[{"f": true}]'),
            (MergeRule('sum', 'f'), b'[{"f": 1.7e308}, {"f": 1.7e308}]'),
            (MergeRule('count'), b'-1'),
            (MergeRule('count'), b'true'),
        )
        for rule, rows in cases:
            with (
                self.subTest(rule=rule, rows=rows),
                self.assertRaises(BadRowsError),
            ):
                merge_rows(rule, {ShardId('a'): rows})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(PARTS, st.randoms(use_true_random=False), st.sampled_from(RULES))
    def test_ignores_arrival_order_and_partial_merges(
        self,
        parts: dict[ShardId, bytes],
        rng: random.Random,
        rule: MergeRule,
    ) -> None:
        """A partial merge at two owners does not change the final bytes."""
        expected = merge_rows(rule, parts)
        shards = list(parts)
        rng.shuffle(shards)
        half = rng.randrange(len(shards) + 1)
        groups = (shards[:half], shards[half:])
        merged: dict[ShardId, bytes] = {}
        for group in groups:
            merged |= merge_partial(rule, {one: parts[one] for one in group})
        self.assertEqual(merged.keys(), parts.keys())
        shuffled = {shard: merged[shard] for shard in shards}
        self.assertEqual(merge_rows(rule, shuffled), expected)

    def test_sums_exactly_in_any_grouping(self) -> None:
        rule = MergeRule('sum', 'f')
        parts = {
            ShardId('a'): b'[{"f": 1e16}, {"f": 1}]',
            ShardId('b'): b'[{"f": 1.0}, {"f": -1e16}]',
        }
        self.assertEqual(merge_rows(rule, parts), b'2.0')
