"""Merges the rows of the shards.

The result depends only on the rows and the names of their shards, never on
the order of arrival: shards are merged in the order of their names, and rows
that compare equal keep that order.
"""

import heapq
from collections.abc import Iterable, Mapping
from functools import partial
from typing import Any

import orjson

from almonddock_core.deployment import MergeRule
from almonddock_core.model import ShardId
from almonddock_core.truth._numbers import add_exactly
from almonddock_core.truth._rows import (
    BadRowsError,
    Row,
    Rows,
    count_rows,
    parse_array,
    rank_row,
    read_numbers,
)


def check_rows(rule: MergeRule, rows: bytes) -> None:
    """Checks the rows of one shard before it is counted as answered.

    Raises:
        BadRowsError: The rows cannot be merged.
    """
    merge_rows(rule, {ShardId(''): rows})


def merge_rows(rule: MergeRule, parts: Mapping[ShardId, bytes]) -> bytes:
    """Returns the merged rows of all shards as JSON text.

    It is an array, or a number for the rules ``sum`` and ``count``.

    Raises:
        BadRowsError: Some part cannot be merged; see :func:`check_rows`.
    """
    ordered = [parts[shard] for shard in sorted(parts)]
    if rule.kind == 'count':
        return orjson.dumps(sum(map(count_rows, ordered)))
    if rule.kind == 'sum':
        return _print_number(_add_field(rule, ordered))
    if rule.kind == 'top_k':
        rows = [row for part in ordered for row in parse_array(part)]
        return orjson.dumps(_pick_top(rule, rows))
    return _concatenate(ordered)


def merge_partial(
    rule: MergeRule,
    parts: Mapping[ShardId, bytes],
) -> Mapping[ShardId, bytes]:
    """Reduces the rows of some shards without changing the final merge.

    The owner host calls it on replies of one snapshot that are sent in one
    message. The result has the same shards, so the coverage is unchanged.
    """
    if rule.kind == 'count':
        return {
            shard: orjson.dumps(count_rows(part))
            for shard, part in parts.items()
        }
    if rule.kind == 'sum':
        return {shard: _shrink_sum(rule, part) for shard, part in parts.items()}
    if rule.kind == 'top_k':
        return _trim_to_top(rule, parts)
    return parts


def _concatenate(ordered: Iterable[bytes]) -> bytes:
    """Joins the JSON texts, so that no number is reformatted."""
    inner = []
    for part in ordered:
        if parse_array(part):
            inner.append(part.strip()[1:-1])
    return b'[%b]' % b','.join(inner)


def _pick_top(rule: MergeRule, rows: Rows) -> Rows:
    """Returns the rows with the largest field; ties keep their order."""
    limit = len(rows) if rule.limit is None else rule.limit
    return heapq.nlargest(limit, rows, key=partial(rank_row, rule))


def _trim_to_top(
    rule: MergeRule,
    parts: Mapping[ShardId, bytes],
) -> Mapping[ShardId, bytes]:
    tagged = [
        (shard, row)
        for shard in sorted(parts)
        for row in parse_array(parts[shard])
    ]

    limit = len(tagged) if rule.limit is None else rule.limit
    kept: dict[ShardId, Rows] = {shard: [] for shard in parts}
    for shard, row in heapq.nlargest(
        limit,
        tagged,
        key=partial(_rank_pair, rule),
    ):
        kept[shard].append(row)
    return {shard: orjson.dumps(rows) for shard, rows in kept.items()}


def _rank_pair(rule: MergeRule, pair: tuple[ShardId, Row]) -> tuple[int, Any]:
    return rank_row(rule, pair[1])


def _add_field(rule: MergeRule, ordered: Iterable[bytes]) -> int | float:
    try:
        return add_exactly(read_numbers(rule, ordered)).round()
    except OverflowError as error:
        raise BadRowsError(str(error)) from error


def _shrink_sum(rule: MergeRule, part: bytes) -> bytes:
    total = add_exactly(read_numbers(rule, [part]))
    return orjson.dumps([{rule.field: term} for term in total.list_terms()])


def _print_number(number: int | float) -> bytes:
    """Formats a number of any size; orjson is limited to 64 bits."""
    return str(number).encode()
