"""The owner of a host's memory."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from almonddock_core.memory._candidates import Candidate, choose_candidate
from almonddock_core.memory._process import ProcessSize, estimate_process
from almonddock_core.model import Clock

#: The memory of a machine that states none.
DEFAULT_MACHINE_BYTES = 300_000_000

#: The share of what the process leaves that is counted out. The allocator keeps
#: the rest: freed memory in pieces that are too small for the next message.
ROOM_SHARE = 0.8

#: The most that one part may take of the room, so that no part
#: can keep all others out.
PART_SHARE = 0.5

#: What all parts may take together, whatever the process takes: a few requests
#: within the limits.
MIN_ROOM_BYTES = 4_000_000


@dataclass(frozen=True, slots=True)
class PartLimits:
    """What one part may hold."""

    #: The name of the part in logs and metrics.
    name: str
    #: The most bytes that it holds, on a machine of any size.
    max_bytes: int
    #: The bytes of memory that a held byte takes, copies included.
    factor: int = 1


class HoldingPart(Protocol):
    """A part of the host that holds bytes."""

    @property
    def held(self) -> int:
        """The bytes that it holds now."""
        ...

    def find_candidate(self) -> Candidate | None:
        """Returns what the part would end first, None without any."""
        ...


class HostMemory:
    """Divides what the process leaves of a machine's memory."""

    def __init__(
        self, clock: Clock, machine_bytes: int = DEFAULT_MACHINE_BYTES
    ) -> None:
        """Initialises without parts."""
        #: Tells the parts since when nothing has moved.
        self.clock = clock
        #: The memory of the machine; a reload may change it.
        self.machine_bytes = machine_bytes
        #: Returns what the size of the process depends on.
        self.measure_process: Callable[[], ProcessSize] = ProcessSize
        #: How many holders were ended to keep a bound.
        self.ended = 0
        self._shares: list[MemoryShare] = []

    @property
    def room(self) -> int:
        """The bytes of memory that all parts may take together."""
        process = estimate_process(self.measure_process())
        left = int((self.machine_bytes - process) * ROOM_SHARE)
        return max(MIN_ROOM_BYTES, left)

    @property
    def taken(self) -> int:
        """The bytes of memory that all parts take."""
        return sum(share.taken for share in self._shares)

    def register(self, part: HoldingPart, limits: PartLimits) -> 'MemoryShare':
        """Returns the share of a new part."""
        share = MemoryShare(self, part, limits)
        self._shares.append(share)
        return share

    def count_held(self) -> dict[str, int]:
        """Returns the bytes that each part holds, by its name."""
        return {share.name: share.part.held for share in self._shares}

    def keep_bound(self) -> bool:
        """Ends holders until all parts fit; returns whether they do."""
        room = self.room
        while self.taken > room:
            chosen = choose_candidate(self._list_candidates())
            if chosen is None:
                return False
            self.end(chosen)
        return True

    def end(self, candidate: Candidate) -> None:
        """Ends a holder."""
        self.ended += 1
        candidate.end()

    def _list_candidates(self) -> Iterable[Candidate]:
        for share in self._shares:
            candidate = share.part.find_candidate()
            if candidate is not None:
                yield candidate


class MemoryShare:
    """What one part may hold of a host's memory."""

    def __init__(
        self, memory: HostMemory, part: HoldingPart, limits: PartLimits
    ) -> None:
        """Belongs to ``memory``; see :meth:`HostMemory.register`."""
        self.part = part
        self.name = limits.name
        self._memory = memory
        self._limits = limits

    @property
    def max_bytes(self) -> int:
        """The most bytes that the part may hold now."""
        share = int(self._memory.room * PART_SHARE / self._limits.factor)
        return min(self._limits.max_bytes, share)

    @property
    def taken(self) -> int:
        """The bytes of memory that the part takes."""
        return self.part.held * self._limits.factor

    def has_room(self, size: int) -> bool:
        """Whether the part may hold some bytes more, without an end."""
        if self.part.held + size > self.max_bytes:
            return False
        added = size * self._limits.factor
        return self._memory.taken + added <= self._memory.room

    def estimate(self, size: int) -> int:
        """Returns the bytes of memory that some held bytes take."""
        return size * self._limits.factor

    def keep_bound(self) -> bool:
        """Ends holders, of any part, until this one and all parts fit.

        Returns whether they do.
        """
        while self.part.held > self.max_bytes:
            candidate = self.part.find_candidate()
            if candidate is None:
                return False
            self._memory.end(candidate)
        return self._memory.keep_bound()
