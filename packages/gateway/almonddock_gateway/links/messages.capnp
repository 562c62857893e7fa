@0xd0e6b1a94c2f7735;
# Frames between gateway hosts. Lists named alike are columns: entry n of each
# belongs to item n. A part is the position of a target in its query.

struct Frame {
  union {
    ping @0 :UInt64;
    pong @1 :UInt64;
    leaving @2 :Void;
    query @3 :RelayQuery;
    cancel @4 :RelayCancel;
    reply @5 :RelayReply;
  }
}

struct RelayQuery {
  number @0 :UInt32;
  # Start line and headers that every target gets, without the last empty line.
  head @1 :Data;
  body @2 :Data;
  attemptId @3 :Data;
  # Microseconds from sending.
  remaining @4 :UInt64;
  flushAfter @5 :UInt64;
  top @6 :UInt32;
  priority @7 :UInt32;
  targets @8 :List(Text);
}

struct RelayCancel {
  number @0 :UInt32;
  parts @1 :List(UInt16);
}

struct RelayReply {
  number @0 :UInt32;
  parts @1 :List(UInt16);
  stamps @2 :List(Data);
  # Microseconds from the send to the target until its reply.
  elapsed @3 :List(UInt32);
  # The greatest records of all these parts.
  records @4 :Data;
  failedParts @5 :List(UInt16);
  failures @6 :List(UInt8);
}
