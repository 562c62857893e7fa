"""Roll-outs between hosts: what is stored, and what counts are told."""

from almonddock_gateway.rollouts._counts import CountTeller, decode_counts
from almonddock_gateway.rollouts._records import decode_record, encode_record

__all__ = [
    'CountTeller',
    'decode_counts',
    'decode_record',
    'encode_record',
]
