@0xd5c1a6a1f3b0e7c2;
# The messages between entry processes. Each frame is an Envelope.

struct Challenge { nonce @0 :Data; }
struct Hello {
  name @0 :Text;
  incarnation @1 :Text;
  nonce @2 :Data;
  proof @3 :Data;
}
struct Welcome {
  name @0 :Text;
  incarnation @1 :Text;
  proof @2 :Data;
}
struct Heartbeat {
  zone @0 :Text;
  address @1 :Text;
  peerAddress @2 :Text;
  leaving @3 :Bool;
  applied @4 :Int64;
  sentAt @5 :Float64;
  echo @6 :Float64;
  freshAge @7 :Float64;
  logAge @8 :Float64;
  echoOf @9 :Text;
}
struct Fetch { offset @0 :Int64; }
struct LogRecord {
  offset @0 :Int64;
  content @1 :Data;
}
struct LogRecords { records @0 :List(LogRecord); }
struct StateCopy { content @0 :Data; }
struct Transfer {
  workspace @0 :Text;
  cap @1 :Int64;
  tokens @2 :Int64;
  want @3 :Int64;
  urgent @4 :Bool;
  spare @5 :Int64;
}
struct Transfers {
  epoch @0 :Int64;
  items @1 :List(Transfer);
}
struct Note {
  kind @0 :Text;
  content @1 :Data;
}
struct Envelope {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    welcome @2 :Welcome;
    heartbeat @3 :Heartbeat;
    fetch @4 :Fetch;
    logRecords @5 :LogRecords;
    stateCopy @6 :StateCopy;
    transfers @7 :Transfers;
    note @8 :Note;
  }
}
