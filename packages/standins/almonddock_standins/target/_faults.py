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
    #: Accepts requests and never answers them.
    silent: bool = False
    #: Connections open at the time of the call go silent; new ones work.
    stall_open: bool = False
    #: Refuses every sub-query as overloaded.
    shed: bool = False
    #: Bears only its cold slots, says so and refuses the rest.
    cold: bool = False
    #: Bears only its cold slots and says nothing; the rest becomes slow.
    cold_unannounced: bool = False
    #: Answers with the reply that belongs to the request before.
    crossed: bool = False
    #: Milliseconds added before a reply, without holding a slot.
    late_ms: Annotated[float, Field(ge=0)] = 0
    #: Reads another index version and says so.
    wrong_version: bool = False
    #: Reads another shard and says so.
    wrong_shard: bool = False
    #: Takes no new work; running work finishes.
    drain: bool = False
    #: Breaks all connections and refuses new ones.
    down: bool = False

    @property
    def delay(self) -> timedelta:
        """The time added before a reply."""
        return timedelta(milliseconds=self.late_ms)
