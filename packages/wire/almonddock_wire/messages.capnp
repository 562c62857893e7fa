@0xb3a1f0c2d4e59671;
# Frames between hosts. Times are microseconds, relative to sending.

struct Frame {
  union {
    hello @0 :Hello;
    ping @1 :UInt64;
    pong @2 :UInt64;
    subQueries @3 :SubQueryBatch;
    subReplies @4 :SubReplyBatch;
    cancel @5 :CancelBatch;
  }
}

struct Hello {
  host @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
}

struct SubQueryBatch {
  requestId @0 :Text;
  version @1 :Int64;
  body @2 :Data;
  remaining @3 :Int64;
  urgency @4 :UInt8;
  worth @5 :Float64;
  idempotent @6 :Bool;
  traceparent @7 :Text;
  items @8 :List(SubQueryItem);
}

struct SubQueryItem {
  attempt @0 :UInt32;
  shard @1 :Text;
  target @2 :Text;
  hedge @3 :Bool;
}

struct SubReplyBatch {
  replies @0 :List(SubReply);
  loads @1 :List(TargetLoad);
}

struct SubReply {
  attempt @0 :Text;
  requestId @1 :Text;
  shard @2 :Text;
  target @3 :Text;
  status @4 :UInt8;
  reason @5 :UInt8;
  version @6 :Int64 = -1;
  rows @7 :Data;
  queued @8 :Int64;
  served @9 :Int64;
  cold @10 :Bool;
  draining @11 :Bool;
  inFlight @12 :Int32 = -1;
}

struct TargetLoad {
  target @0 :Text;
  queued @1 :UInt32;
  inFlight @2 :UInt32;
  allowed @3 :UInt32;
  serviceTime @4 :Int64;
  open @5 :Bool;
}

struct CancelBatch {
  attempts @0 :List(Text);
}
