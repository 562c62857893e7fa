"""Identifiers that messages refer to."""

from typing import NewType

#: A host of the tier, unique over all data centres, for example ``kyu-1``.
HostId = NewType('HostId', str)

#: One run of a host; a restart gets a larger number.
Incarnation = NewType('Incarnation', int)

#: A data centre, for example ``kyushu-1``.
DataCentreId = NewType('DataCentreId', str)

#: What callers query, for example ``parts-desk``.
WorkloadId = NewType('WorkloadId', str)

#: One service of a workload, for example ``parts-desk-07``.
ServiceId = NewType('ServiceId', str)

#: One shard, unique over all services: ``service/shard``.
ShardId = NewType('ShardId', str)

#: One replica that holds shards: ``service/target``.
TargetId = NewType('TargetId', str)

#: One request of a caller, never reused (a UUID in hexadecimal).
RequestId = NewType('RequestId', str)

#: One try of one sub-query, never reused: ``request:number``.
AttemptId = NewType('AttemptId', str)

#: The version of an index, which orders snapshots of a workload.
IndexVersion = NewType('IndexVersion', int)

#: The revision of the configuration, which only grows.
Revision = NewType('Revision', int)
