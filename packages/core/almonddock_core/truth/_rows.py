"""Parses the rows of one shard."""

from collections.abc import Iterable, Iterator
from typing import Any

import orjson

from almonddock_core.deployment import MergeRule
from almonddock_core.model import AlmonddockError

Row = Any  # a JSON value whose schema the service defines
Rows = list[Row]


class BadRowsError(AlmonddockError):
    """The rows of a shard do not fit its merge rule."""

    code = 'bad_rows'


def parse_array(part: bytes) -> Rows:
    """Returns the rows of one shard."""
    rows = _parse(part)
    if not isinstance(rows, list):
        raise BadRowsError(f'expected an array of rows, found {type(rows)}')
    return rows


def count_rows(part: bytes) -> int:
    """Returns the number of rows; a number is the count of a partial merge."""
    rows = _parse(part)
    if isinstance(rows, list):
        return len(rows)
    if isinstance(rows, int) and not isinstance(rows, bool) and rows >= 0:
        return rows
    raise BadRowsError('expected an array of rows or their count')


def read_numbers(
    rule: MergeRule,
    ordered: Iterable[bytes],
) -> Iterator[int | float]:
    """Yields the field to sum from each row that has it."""
    for part in ordered:
        for row in parse_array(part):
            found = _read_field(rule, row)
            if found is not None:
                yield _check_number(rule, found)


def rank_row(rule: MergeRule, row: Row) -> tuple[int, Any]:
    """Returns a sort key: numbers rank above strings, strings above others."""
    found = _read_field(rule, row)
    if isinstance(found, (int, float)):
        return 2, found
    if isinstance(found, str):
        return 1, found
    return 0, 0


def _parse(part: bytes) -> Any:
    try:
        return orjson.loads(part)
    except orjson.JSONDecodeError as error:
        raise BadRowsError(f'rows are not JSON: {error}') from error


def _read_field(rule: MergeRule, row: Row) -> Any:
    if not isinstance(row, dict):
        raise BadRowsError(f'expected an object with the field {rule.field}')
    return row.get(rule.field)


def _check_number(rule: MergeRule, found: Any) -> int | float:
    if isinstance(found, (int, float)) and not isinstance(found, bool):
        return found
    raise BadRowsError(f'expected a number in the field {rule.field}')
