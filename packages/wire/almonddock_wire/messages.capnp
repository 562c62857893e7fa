@0xb3a1f0c2d4e59671;
# Frames between hosts. Durations are in microseconds; a deadline is sent as the
# time remaining.

struct Frame {
  union {
    hello @0 :Hello;
    ping @1 :UInt64;
    pong @2 :UInt64;
    subQueries @3 :SubQueryBatch;
    subReplies @4 :SubReplyBatch;
    cancel @5 :CancelBatch;
    probe @6 :Probe;
    probeReply @7 :Probe;
    probeRequest @8 :Probe;
    configurationHead @9 :ConfigurationHead;
    documentRequest @10 :List(Text);
    documentReply @11 :DocumentReply;
    claim @12 :Claim;
    finish @13 :Finish;
    decision @14 :Decision;
    leaseRequest @15 :LeaseRequest;
    leaseReply @16 :LeaseReply;
    leaseRelease @17 :LeaseRelease;
    handover @18 :Handover;
  }
}

struct Hello {
  host @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
}

# Batches are stored by column: entry n of each list belongs to item n.
# Reading a list in one pass is far cheaper than reading a struct for each item.
# In replies, queued and served are durations; in loads, queued is a count and
# allowed the concurrency limit.

struct SubQueryBatch {
  requestId @0 :Text;
  version @1 :Int64;
  body @2 :Data;
  remaining @3 :Int64;
  urgency @4 :UInt8;
  worth @5 :Float64;
  idempotent @6 :Bool;
  traceparent @7 :Text;
  attempts @8 :List(UInt32);
  shards @9 :List(Text);
  targets @10 :List(Text);
  hedges @11 :List(Bool);
}

struct SubReplyBatch {
  attempts @0 :List(UInt32);
  requestIds @1 :List(Text);
  shards @2 :List(Text);
  targets @3 :List(Text);
  statuses @4 :List(UInt8);
  reasons @5 :List(UInt8);
  versions @6 :List(Int64);
  rows @7 :List(Data);
  queued @8 :List(Int64);
  served @9 :List(Int64);
  cold @10 :List(Bool);
  draining @11 :List(Bool);
  inFlight @12 :List(Int32);
  loads @13 :LoadBatch;
}

struct LoadBatch {
  targets @0 :List(Text);
  queued @1 :List(UInt32);
  inFlight @2 :List(UInt32);
  allowed @3 :List(UInt32);
  serviceTimes @4 :List(Int64);
  open @5 :List(Bool);
}

struct CancelBatch {
  attempts @0 :List(Text);
}

# A probe, a reply to one or a request for one: target, the host to probe, is
# set only in requests, full only in probes. News are membership changes.
struct Probe {
  number @0 :UInt64;
  sender @1 :Text;
  target @2 :Text;
  full @3 :Bool;
  head @4 :ConfigurationHead;
  news @5 :List(Member);
}

struct Member {
  host @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  state @4 :UInt8;
}

struct ConfigurationHead {
  revision @0 :UInt64;
  digest @1 :Text;
  # Microseconds since the store last confirmed this head; -1 if never.
  confirmed @2 :Int64 = -1;
}

struct DocumentReply {
  documents @0 :List(Data);
  missing @1 :List(Text);
}

struct LeaseRequest {
  holder @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  # Digest of the host list that the holder uses.
  hostList @3 :UInt64;
  targets @4 :List(Text);
}

struct LeaseReply {
  voter @0 :Text;
  number @1 :UInt64;
  targets @2 :List(Text);
}

struct LeaseRelease {
  holder @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  targets @3 :List(Text);
}

struct Handover {
  target @0 :Text;
  allowed @1 :UInt32;
}

struct Claim {
  key @0 :Text;
  requestId @1 :Text;
  fingerprint @2 :Text;
  remaining @3 :Int64;
}

struct Recorded {
  # -1 if no outcome is recorded.
  outcome @0 :Int8 = -1;
  answer @1 :Data;
}

struct Finish {
  key @0 :Text;
  requestId @1 :Text;
  recorded @2 :Recorded;
}

struct Decision {
  claim @0 :Claim;
  # The outcome of a refused claim; -1 if the claim is not refused.
  refused @1 :Int8 = -1;
  reason @2 :UInt8;
  recorded @3 :Recorded;
}
