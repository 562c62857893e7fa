"""Logs and metrics of a host's memory."""

from almonddock_core.memory import HostMemory
from almonddock_gateway.telemetry._telemetry import Telemetry


class MemoryReport:
    """Tells operators what takes the memory of a host."""

    def __init__(self, memory: HostMemory, telemetry: Telemetry) -> None:
        self._memory = memory
        self._telemetry = telemetry
        self._logged = 0

    def count_state(self) -> dict[str, float]:
        """Returns the state of the memory for the metrics."""
        memory = self._memory
        held = {
            f'{name}_bytes_held': size
            for name, size in memory.count_held().items()
        }
        return {
            'memory_room': memory.room,
            'memory_taken': memory.taken,
            'memory_ended': memory.ended,
            **held,
        }

    def log_shortage(self) -> None:
        """Logs what was ended for all parts since the last call."""
        memory = self._memory
        ended = memory.ended - self._logged
        if not ended:
            return
        self._logged = memory.ended
        self._telemetry.log_event(
            'memory_full',
            ended=ended,
            machine=memory.machine_bytes,
            room=memory.room,
            taken=memory.taken,
            held=memory.count_held(),
        )
