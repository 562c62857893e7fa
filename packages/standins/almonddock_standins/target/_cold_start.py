"""When a stand-in target counts as cold."""

from almonddock_standins.target._faults import Faults


class ColdStart:
    """Counts replies since the fault ``cold`` last changed."""

    def __init__(self, warm_after: int) -> None:
        #: Replies after which the target is warm; zero for never.
        self._warm_after = warm_after
        self._replies = 0

    def restart(self) -> None:
        """Starts counting replies from zero."""
        self._replies = 0

    def count_reply(self) -> None:
        """Counts one reply."""
        self._replies += 1

    def is_cold(self, faults: Faults) -> bool:
        """Returns whether a cold fault is on and the target is not yet warm."""
        if not (faults.cold or faults.cold_unannounced):
            return False
        return not self._warm_after or self._replies < self._warm_after
