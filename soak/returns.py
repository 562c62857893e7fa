"""Plays the store's return from copies, and the writes that follow."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType

from soak.installation import Installation
from soak.schedule import Fault, FaultKind
from soak.targets import HEARTBEAT_S, MISSED_HEARTBEATS

#: How often the store returns in a row.
RETURNS: Mapping[FaultKind, int] = MappingProxyType(
    {FaultKind.STORE_RETURN: 1, FaultKind.STORE_RETURN_TWICE: 2},
)

#: The time between two returns in a row, in seconds.
GAP_S = 0.5

#: How long after the return the operator has written again what was lost, in
#: seconds; targets do so with their next heartbeats.
WRITTEN_AGAIN_S = 0.5

#: The pause between two tries of the operator, in seconds.
RETRY_PAUSE_S = 0.25

#: How long entries stay that no target reports, in seconds.
SILENCE_S = HEARTBEAT_S * MISSED_HEARTBEATS


async def restore_store(
    installation: Installation, fault: Fault
) -> timedelta | None:
    """Lets the store return from copies, each older than the one before.

    Returns when the oldest of them was taken; None, and does nothing, for a
    fault of another kind.
    """
    copied = None
    for turn in range(RETURNS.get(fault.kind, 0)):
        if turn:
            await asyncio.sleep(GAP_S)
        age = fault.duration * (turn + 1)
        taken = await installation.copies.restore(age)
        copied = taken if copied is None else min(copied, taken)
    return copied


async def write_again(installation: Installation, copied: timedelta) -> None:
    """Writes what the operator wrote after a copy; removes stale entries."""
    await asyncio.sleep(WRITTEN_AGAIN_S)
    while not installation.write_again(copied):
        await asyncio.sleep(RETRY_PAUSE_S)
    await asyncio.sleep(SILENCE_S)
    installation.remove_unreported()
