"""What a process takes without the bytes that it holds for others."""

from dataclasses import dataclass

#: The interpreter, the libraries with those for links, and the log.
PROCESS_BYTES = 40_000_000

#: A target: its entry, what is known of its health, its pool.
TARGET_BYTES = 4096

#: An open connection of a caller without a request.
CONNECTION_BYTES = 9000


@dataclass(frozen=True, slots=True)
class ProcessSize:
    """The counts that the size of a process depends on."""

    targets: int = 0
    #: The open connections of callers.
    connections: int = 0


def estimate_process(size: ProcessSize) -> int:
    """Returns about how many bytes the process takes."""
    targets = size.targets * TARGET_BYTES
    return PROCESS_BYTES + targets + size.connections * CONNECTION_BYTES


def count_affordable_connections(machine_bytes: int, share: float) -> int:
    """Returns how many connections fit a share of what the process leaves."""
    free = max(0, machine_bytes - PROCESS_BYTES)
    return max(1, int(free * share / CONNECTION_BYTES))
