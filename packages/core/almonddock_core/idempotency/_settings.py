"""Settings of the idempotency log."""

from dataclasses import dataclass
from datetime import timedelta

#: The bytes of an entry without any answer, with some to spare.
ENTRY_BYTES = 128


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How the log keeps records; the same on every host."""

    #: Partitions of the key space; each has one owner host at a time.
    partitions: int = 1
    #: Store keys of the log start with this.
    prefix: str = 'idempotency/'
    #: A key is remembered at least this long after its last record.
    retention: timedelta = timedelta(minutes=5)
    #: A segment of this many bytes is sealed and the next one opened.
    segment_bytes: int = 65_536
    #: Segments of one partition, expired ones included.
    max_segments: int = 1024
    #: Bytes of one segment when no further one may be opened.
    max_value_bytes: int = 900_000
    #: Bytes of a recorded answer; a larger one is recorded without rows.
    max_answer_bytes: int = 4096
    #: A claim waits for others, at most this many store round trips.
    linger_round_trips: float = 1.9
    #: The longest such wait, however slow the store is.
    max_linger: timedelta = timedelta(seconds=0.1)
    #: Recorded outcomes wait this long for a claim to be written with.
    outcome_linger: timedelta = timedelta(seconds=0.5)
    #: A claim that is not written after this is refused.
    patience: timedelta = timedelta(seconds=1)
    #: A request that was granted cannot be running after this.
    longest_run: timedelta = timedelta(minutes=2)
    #: The first pause after a failed store call; it doubles each time.
    min_backoff: timedelta = timedelta(seconds=0.1)
    #: The longest pause between store calls while the store is down.
    max_backoff: timedelta = timedelta(seconds=2)

    def __post_init__(self) -> None:
        """Raises ValueError for sizes that contradict each other."""
        if self.partitions < 1:
            raise ValueError(f'expected partitions >= 1: {self.partitions}')
        # Quotes in an answer are escaped, which may double its length.
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
