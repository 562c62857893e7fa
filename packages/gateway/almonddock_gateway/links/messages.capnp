@0xd0e6b1a94c2f7735;
# Frames between gateway hosts. Parallel lists of a struct are columns: entry n
# of each belongs to item n. A part is the index of a target in its query.

struct Frame {
  union {
    ping @0 :UInt64;
    pong @1 :UInt64;
    leaving @2 :Void;
    query @3 :RelayQuery;
    cancel @4 :RelayCancel;
    reply @5 :RelayReply;
    storeQuery @6 :StoreQuery;
    storeReply @7 :StoreReply;
    creditQuery @8 :CreditQuery;
    creditReply @9 :CreditReply;
    # Only sent to hosts whose last StoreReply had a clock.
    grantQuery @10 :GrantQuery;
    grantReply @11 :GrantReply;
  }
  # Counts of roll-outs, in a ping or pong; a host of an earlier release
  # ignores them.
  counts @12 :Data;
}

struct RelayQuery {
  number @0 :UInt32;
  # Start line and headers common to all targets, without the empty line.
  head @1 :Data;
  body @2 :Data;
  attemptId @3 :Data;
  # Both in microseconds, counted from the arrival of the query.
  remaining @4 :UInt64;
  flushAfter @5 :UInt64;
  top @6 :UInt32;
  priority @7 :UInt32;
  targets @8 :List(Text);
  # Only greater records are wanted; empty if all are.
  floor @9 :Data;
  # Microseconds in which targets typically answer; 0 if unknown.
  typicalLatency @10 :UInt32;
  # One more than the microseconds by which its turn is later than its arrival; 0
  # where organisations do not share.
  delayPlusOne @11 :UInt32;
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
  # The greatest records of these parts, merged.
  records @4 :Data;
  failedParts @5 :List(UInt16);
  failures @6 :List(UInt8);
  # Slow or failing targets near the sender, with tenths of typical latencies.
  costlyTargets @7 :List(Text);
  costs @8 :List(UInt8);
}

struct StoreQuery {
  number @0 :UInt32;
  prefix @1 :Text;
  # Whether to return the changes after a revision, instead of all items.
  changes @2 :Bool;
  after @3 :UInt64;
  # Microseconds to wait for the first change.
  wait @4 :UInt64;
  # Slow, failing or unreachable targets, with tenths of typical latencies.
  costlyTargets @5 :List(Text);
  costs @6 :List(UInt8);
  # The thousandths of attempts that the sender lends, and the clock of the last
  # reply.
  lent @7 :UInt32;
  asOf @8 :UInt64;
  # The era of the store that "after" is of; earlier releases do not state it.
  era @9 :UInt32;
  hasEra @10 :Bool;
}

struct StoreReply {
  number @0 :UInt32;
  outcome @1 :UInt8;
  revision @2 :UInt64;
  keys @3 :List(Text);
  contents @4 :List(Data);
  removed @5 :List(Bool);
  revisions @6 :List(UInt64);
  # Whether the store may have more changes than fit into the answer.
  hasMore @7 :Bool;
  # Slow, failing or unreachable targets, with tenths of typical latencies.
  costlyTargets @8 :List(Text);
  costs @9 :List(UInt8);
  # Whether viewAge is stated.
  isDated @10 :Bool;
  # Microseconds by which the read that shows the view was sent before the query
  # arrived; negative if after it.
  viewAge @11 :Int64;
  # The sender's clock in microseconds.
  clock @12 :UInt64;
  # The era of the store that all revisions are of; earlier releases do not
  # state it.
  era @13 :UInt32;
  hasEra @14 :Bool;
}

struct CreditQuery {
  number @0 :UInt32;
  # Empty in a greeting, which asks for no credits.
  organisation @1 :Text;
  wanted @2 :UInt32;
  # Microseconds for which the sender has known the receiver as a grantor.
  knownFor @3 :UInt64;
}

struct CreditReply {
  number @0 :UInt32;
  organisation @1 :Text;
  granted @2 :UInt32;
  # Microseconds until the next credit.
  wait @3 :UInt64;
  # Whether the sender grants.
  grants @4 :Bool;
}

struct GrantQuery {
  number @0 :UInt32;
  services @1 :List(Text);
}

struct GrantReply {
  number @0 :UInt32;
  # Indices of the services.
  granted @1 :List(UInt16);
}
