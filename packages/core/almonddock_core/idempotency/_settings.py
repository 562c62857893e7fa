"""Settings of the idempotency log."""

from dataclasses import dataclass
from datetime import timedelta

#: The size of an entry without an answer, with a margin.
ENTRY_BYTES = 128


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log, which must be the same on every host."""

    #: Partitions of the key space; each has one owner host at a time.
    partitions: int = 1
    #: The prefix of the log's store keys.
    prefix: str = 'idempotency/'
    #: A key is remembered for at least this long after its last entry.
    retention: timedelta = timedelta(minutes=5)
    #: A segment is sealed at this size and the next one opened.
    segment_bytes: int = 65_536
    #: The most segments of one partition, including expired ones.
    max_segments: int = 1024
    #: The maximum size of the tail segment, when no other may be opened.
    max_value_bytes: int = 900_000
    #: The maximum size of a recorded answer; of a larger one only the outcome
    #: is recorded.
    max_answer_bytes: int = 4096
    #: The most store round trips that a claim waits for others, which are
    #: then written in the same batch.
    linger_round_trips: float = 1.9
    #: The upper bound of that wait, however slow the store is.
    max_linger: timedelta = timedelta(seconds=0.1)
    #: How long recorded outcomes wait to be written together with claims.
    outcome_linger: timedelta = timedelta(seconds=0.5)
    #: A claim that is not written within this time is refused.
    claim_timeout: timedelta = timedelta(seconds=1)
    #: No request runs longer than this after its grant.
    max_run_time: timedelta = timedelta(minutes=2)
    #: The first pause when the store is down; it doubles with each failure.
    min_backoff: timedelta = timedelta(seconds=0.1)
    #: The maximum pause between store calls while the store is down.
    max_backoff: timedelta = timedelta(seconds=2)

    def __post_init__(self) -> None:
        """Raises ValueError for invalid or inconsistent settings."""
        if self.partitions < 1:
            raise ValueError(
                f'expected at least 1 partition, found {self.partitions}'
            )
        # Escaping the quotes in an answer may double its length.
        longest_entry = 2 * self.max_answer_bytes + ENTRY_BYTES
        if self.segment_bytes < longest_entry:
            raise ValueError(
                f'segment_bytes {self.segment_bytes} cannot hold an entry '
                f'of {longest_entry} bytes',
            )
        if self.segment_bytes > self.max_value_bytes:
            raise ValueError(
                f'segment_bytes {self.segment_bytes} is larger than '
                f'max_value_bytes {self.max_value_bytes}',
            )
