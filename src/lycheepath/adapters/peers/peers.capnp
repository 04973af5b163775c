# Messages between hosts. A datagram consists of a version, an authentication
# tag and one packed Message. Field numbers are never reused.
@0xc7a4f8d2b3e91a55;

struct Message {
  kind @0 :UInt8;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  region @4 :Text;
  to @5 :Text;
  echo @6 :UInt64;
  cookie @7 :UInt64;
  subject @8 :Text;
  viewHash @9 :UInt32;
  valuesHash @10 :UInt32;
  bucketHashes @11 :List(UInt32);
  last @12 :Bool;
  members @13 :List(Member);
  values @14 :List(Value);
  news @15 :List(News);
  summaries @16 :List(Summary);
}

struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  state @3 :UInt8;
  leaving @4 :Bool;
  # IP:port; empty if the receiver has it already.
  peersAddress @5 :Text;
  # Only ":port" if the IP is that of peersAddress.
  callersAddress @6 :Text;
  zone @7 :Text;
  # Empty if it is the region of the message.
  region @8 :Text;
  accuser @9 :Text;
}

struct Value {
  name @0 :Text;
  revision @1 :UInt64;
  digest @2 :Data;
}

struct News {
  kind @0 :UInt8;
  key @1 :UInt64;
  word @2 :UInt64;
  extra @3 :UInt64;
  stamp @4 :UInt32;
  ageMs @5 :UInt32;
  ttlS @6 :UInt16;
}

struct Summary {
  region @0 :Text;
  alive @1 :UInt32;
  down @2 :List(Text);
  leaving @3 :List(Text);
  contacts @4 :List(Text);
  ageMs @5 :UInt32;
}
