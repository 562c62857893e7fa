"""The adapter's decoders and encoders for the values in the store."""

from dataclasses import dataclass

from almonddock_gateway.controllers._configuration import DecodeTable
from almonddock_gateway.controllers._rollouts import DecodeOrder, EncodeState
from almonddock_gateway.controllers._targets import DecodeTarget


@dataclass(frozen=True, slots=True)
class Decoders:
    """The formats of what operators and targets write, and operators read."""

    table: DecodeTable
    target: DecodeTarget
    order: DecodeOrder
    state: EncodeState
