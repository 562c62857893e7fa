"""Faults of a stand-in target."""

from datetime import timedelta
from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass


@dataclass(frozen=True, slots=True, config=ConfigDict(extra='forbid'))
class Faults:
    """All faults that are on; ``POST /fault`` replaces the whole set."""

    #: Multiplies every service time.
    slow: Annotated[float, Field(gt=0)] = 1
    #: Answers neither sub-queries nor requests for reports.
    silent: bool = False
    #: Connections open when it is set get no more replies; new ones work.
    stall_open: bool = False
    #: Refuses every sub-query as overloaded.
    shed: bool = False
    #: Runs at most ``cold_slots`` at once, reports it, refuses the rest.
    cold: bool = False
    #: Reports nothing; sub-queries above ``cold_slots`` become slow.
    cold_unannounced: bool = False
    #: Answers each request with the reply to the previous one.
    crossed: bool = False
    #: Milliseconds added before a reply, without holding a slot.
    late_ms: Annotated[float, Field(ge=0)] = 0
    #: Reads another index version and reports that version.
    wrong_version: bool = False
    #: Reads another shard and reports that shard.
    wrong_shard: bool = False
    #: Takes no new work; running work finishes.
    drain: bool = False
    #: Breaks all connections and refuses new ones.
    down: bool = False

    @property
    def delay(self) -> timedelta:
        """The time added before a reply."""
        return timedelta(milliseconds=self.late_ms)
