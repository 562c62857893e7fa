"""Rows of a stand-in target, which tests can compute themselves."""

import zlib

import orjson

MAX_SCORE = 10_000


def build_rows(shard: str, version: int) -> bytes:
    """Returns the JSON array that every replica of a shard answers with."""
    score = zlib.crc32(f'{shard}@{version}'.encode()) % MAX_SCORE
    return orjson.dumps(
        [{'shard': shard, 'version': version, 'score': score}],
    )
