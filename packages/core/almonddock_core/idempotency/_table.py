"""The state of each key, including outcomes that are not written yet."""

from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.idempotency._chain import Chain
from almonddock_core.idempotency._entries import Entry, EntryKind
from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.idempotency._messages import (
    Claim,
    Finish,
    Grant,
    Refuse,
    Repeat,
)
from almonddock_core.idempotency._settings import LogSettings
from almonddock_core.model import Outcome, Reason, RequestId


@dataclass(frozen=True, slots=True)
class OutcomeBatch:
    """Outcomes to write, in order of arrival."""

    entries: tuple[Entry, ...]
    #: Their size in a segment, in bytes.
    size: int
    #: The number of outcomes that did not fit.
    remaining: int


class KeyTable:
    """Decides claims from a chain and the outcomes not yet written to it."""

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._chain: Chain | None = None
        self._outcomes: dict[KeyDigest, Entry] = {}
        self._outcomes_since = timedelta()
        #: The grant time of each request that has no outcome yet.
        self._granted: dict[RequestId, timedelta] = {}

    @property
    def chain(self) -> Chain | None:
        """The chain as last read; None before it is read."""
        return self._chain

    @property
    def outcomes_since(self) -> timedelta | None:
        """Since when outcomes wait to be written; None if none waits."""
        return self._outcomes_since if self._outcomes else None

    def load(self, chain: Chain | None) -> None:
        """Replaces the chain and keeps the outcomes that still apply.

        Another owner may have appended entries, so an outcome must not be
        written after the start of a later request with the same key.
        """
        self._chain = chain
        if chain is not None:
            self._outcomes = {
                key: entry
                for key, entry in self._outcomes.items()
                if _is_started(chain.find(key), entry.request_id)
            }

    def decide(
        self, claim: Claim, now: timedelta
    ) -> Grant | Refuse | Repeat | None:
        """Returns the decision on a claim, None if its key is free."""
        entry = self._find(claim.key)
        if entry is None or entry.kind is EntryKind.RELEASED:
            return None
        if entry.fingerprint != claim.fingerprint:
            return Refuse(claim, Outcome.NOT_RUN, Reason.KEY_MISMATCH)
        if entry.recorded is not None:
            return Repeat(claim, entry.recorded)
        if entry.request_id == claim.request_id:
            return Grant(claim)
        granted = self._granted.get(entry.request_id)
        is_running = (
            granted is not None and now - granted < self._settings.max_run_time
        )
        reason = Reason.IN_PROGRESS if is_running else Reason.NOT_RECORDED
        return Refuse(claim, Outcome.OUTCOME_UNKNOWN, reason)

    def record_grant(self, claim: Claim, now: timedelta) -> None:
        """Records the time of a grant, after which the request may run."""
        self._granted[claim.request_id] = now

    def record_outcome(self, finish: Finish, now: timedelta) -> None:
        """Queues the outcome of a started request that has none yet.

        If there are two different reports on a request, the first is kept.
        """
        self._granted.pop(finish.request_id, None)
        entry = self._find(finish.key)
        if entry is None or not _is_started(entry, finish.request_id):
            return
        if not self._outcomes:
            self._outcomes_since = now
        self._outcomes[finish.key] = self._build_outcome(entry, finish)

    def take_outcomes(self, room: int) -> OutcomeBatch:
        """Returns the oldest outcomes that fit into ``room`` bytes."""
        taken: list[Entry] = []
        size = 0
        for entry in self._outcomes.values():
            new_size = size + len(entry.encode()) + 1
            if new_size > room:
                break
            size = new_size
            taken.append(entry)
        remaining = len(self._outcomes) - len(taken)
        return OutcomeBatch(tuple(taken), size, remaining)

    def accept_outcomes(self, written: OutcomeBatch) -> None:
        """Removes outcomes that have been written to the chain."""
        for entry in written.entries:
            if self._outcomes.get(entry.key) is entry:
                self._outcomes.pop(entry.key)

    def drop_expired_grants(self, now: timedelta) -> None:
        """Drops grants whose request can no longer be running."""
        oldest = now - self._settings.max_run_time
        while self._granted:
            request_id, granted = next(iter(self._granted.items()))
            if granted > oldest:
                return
            self._granted.pop(request_id)

    def _find(self, key: KeyDigest) -> Entry | None:
        found = self._outcomes.get(key)
        if found is None and self._chain is not None:
            return self._chain.find(key)
        return found

    def _build_outcome(self, entry: Entry, finish: Finish) -> Entry:
        recorded = finish.recorded
        if recorded is None:
            return replace(entry, kind=EntryKind.RELEASED)
        if len(recorded.answer) > self._settings.max_answer_bytes:
            recorded = replace(recorded, answer=b'')
        return replace(entry, kind=EntryKind.FINISHED, recorded=recorded)


def _is_started(entry: Entry | None, request_id: RequestId) -> bool:
    return (
        entry is not None
        and entry.kind is EntryKind.STARTED
        and entry.request_id == request_id
    )
