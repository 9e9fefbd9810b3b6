# What entry VMs say to each other.  Licensed under the Apache License 2.0.
@0xe3a1c96ef3d7b04d;

struct Envelope {
  vm @0 :Text;
  incarnation @1 :Text;
  physical @2 :UInt64;
  logical @3 :UInt32;
  # Calls over a stream carry a number that their answer repeats.
  call @4 :UInt64;
  body :union {
    heartbeat @5 :Heartbeat;
    askHead @6 :Void;
    head @7 :Data;
    askPart @8 :Text;
    part @9 :Data;
    billCopy @10 :BillCopy;
    billTaken @11 :Void;
    billStored @12 :BillStored;
    askRun @13 :Text;
    run @14 :Run;
    askPin @15 :PinProposal;
    pin @16 :Text;
    endpointLeaving @17 :EndpointLeaving;
    versionBrake @18 :Text;
    failure @19 :Text;
    copyPin @20 :PinProposal;
    tallies @21 :List(TallyRow);
    work @22 :WorkNews;
    askKnown @23 :KnownRevision;
    known @24 :Data;
    trial @25 :TrialNews;
    askChanges @26 :KnownChanges;
    changes @27 :Changes;
    opinions @28 :List(GainRow);
    askTrial @29 :TrialName;
    sessionsSeen @30 :List(SeenSession);
    sessionsTaken @31 :Void;
    askVms @32 :UInt64;
    vms @33 :Data;
    vmNews @34 :VmNews;
    askStart @35 :Void;
    start @36 :Start;
    crashes @37 :List(CrashTrace);
    crashDigest @38 :UInt64;
    askCrashes @39 :Void;
    billsMissing @40 :UInt64;
    rateLimits @41 :RateLimitNews;
    askRateLimits @42 :Void;
    askPermit @43 :AskPermit;
    permit @44 :Permit;
    draining @45 :DrainingNews;
    askDraining @46 :Void;
    askReach @47 :EndpointStart;
    openTunnel @48 :EndpointStart;
    reach @49 :Reach;
    askPlace @50 :Place;
    place @51 :PlaceAnswer;
    placesUsed @52 :Place;
    brittle @53 :BrittleNews;
    askSlot @54 :AskSlot;
    slot @55 :SlotAnswer;
    slotNews @56 :SlotNews;
    slotReleased @57 :SlotReleased;
    slotsScarce @58 :SlotsScarce;
    arrivals @59 :Arrivals;
  }
}

struct News {
  vm @0 :Text;
  incarnation @1 :Text;
  hall @2 :Text;
  counter @3 :UInt64;
  revision @4 :UInt64;
  leaving @5 :Bool;
  host @6 :Text;
  port @7 :UInt16;
  administration @8 :UInt16;
  confirmedAge @9 :Float64;
  region @10 :Text;
  # The store's era, and the seconds since the sender learnt that it was restored.
  era @11 :UInt64;
  restoredAge @12 :Float64;
}

struct Heartbeat {
  own @0 :News;
  rumours @1 :List(News);
  # What stands for a VM and its incarnation, and its newest counter.
  digests @2 :List(UInt64);
}

struct BillCopy {
  incarnation @0 :Text;
  records @1 :Data;
  nextBatch @2 :UInt64;
}

struct BillStored {
  incarnation @0 :Text;
  nextBatch @1 :UInt64;
}

struct Run {
  known @0 :Bool;
  state @1 :Text;
  status @2 :UInt16;
  contentType @3 :Text;
  body @4 :Data;
  headers @5 :List(Header);
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct PinProposal {
  organisation @0 :Text;
  session @1 :Text;
  token @2 :Text;
}

struct EndpointLeaving {
  endpoint @0 :Text;
  incarnation @1 :Text;
}

struct TallyRow {
  vm @0 :Text;
  incarnation @1 :Text;
  subject @2 :Text;
  good @3 :UInt32;
  bad @4 :UInt32;
}

struct WorkNews {
  endpoint @0 :Text;
  seconds @1 :Float32;
  beginning @2 :Text;
  model @3 :Text;
  rate @4 :Float32;
}

struct KnownRevision {
  kind @0 :Text;
  revision @1 :UInt64;
  era @2 :UInt64;
}

# Differences of two models' opinions on the same request, second less first.
struct GainRow {
  smaller @0 :Text;
  larger @1 :Text;
  count @2 :Float32;
  total @3 :Float32;
  squares @4 :Float32;
}

# What the sender has seen of a version on trial; measures are words.
struct TrialNews {
  order @0 :Text;
  version @1 :Text;
  rows @2 :List(TrialRow);
  # Numbers of sessions that stay on the old version.
  kept @3 :List(UInt64);
  verdict @4 :Text;
  # Seconds since the order was first seen; below 0 where that is not known.
  elapsed @5 :Float64;
  opensIn @6 :Float32;
  # The data hall whose VMs have seen this together; empty for the sender alone.
  hall @7 :Text;
  usual @8 :List(UsualTime);
  # Answers of the new version that the sender knows of, of all VMs.
  seen @9 :UInt32;
  # What the sender has seen of the old version meanwhile.
  oldRows @10 :List(TrialRow);
}

# How long one kind of answer takes at the old version; the kind as a number.
struct UsualTime {
  kind @0 :UInt64;
  seconds @1 :Float32;
  seen @2 :UInt16;
}

# Which version served a session last, and how long ago; seconds.
struct SeenSession {
  service @0 :Text;
  session @1 :Text;
  version @2 :Text;
  age @3 :Float32;
}

struct TrialName {
  order @0 :Text;
  version @1 :Text;
}

struct TrialRow {
  measure @0 :Text;
  route @1 :Text;
  good @2 :UInt32;
  bad @3 :UInt32;
  badEndpoints @4 :List(Text);
}

struct KnownChanges {
  kind @0 :Text;
  revision @1 :UInt64;
  seconds @2 :Float32;
  era @3 :UInt64;
}

# Whoever does not follow the store itself, or has no answer from it, says so.
struct Changes {
  data @0 :Data;
  direct @1 :Bool;
  failing @2 :Bool;
  whole @3 :Bool;
  returned @4 :Float32;
}

# Where an entry VM is.
struct VmRow {
  vm @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  hall @3 :Text;
}

struct VmNews {
  row @0 :VmRow;
  leaving @1 :Bool;
  incarnation @2 :Text;
}

struct KnownList {
  kind @0 :Text;
  data @1 :Data;
}

# All that a VM knows, for one that starts.
struct Start {
  vms @0 :Data;
  lists @1 :List(KnownList);
}

# That a request was at an endpoint which ended, or that one has answered it; times are
# seconds, and one that is not known is negative.  An answer without a request is
# evidence for the parts only.
struct CrashTrace {
  fingerprint @0 :Data;
  service @1 :Text;
  version @2 :Text;
  endpoint @3 :Text;
  age @4 :Float64;
  ran @5 :Float64;
  answered @6 :Bool;
  held @7 :Float64;
  # The names of parts of its prompt, separated by commas.
  parts @8 :Text;
}

# The rate limit that a start of an endpoint named last; one that is not limited is
# below 0, as is a time of its start that is not known.
struct RateLimit {
  endpoint @0 :Text;
  born @1 :Int64;
  perSecond @2 :Float64;
  # Seconds since the answer that named it.
  age @3 :Float64;
}

struct RateLimitNews {
  rows @0 :List(RateLimit);
  # Whether relays forward it to all VMs of their data hall.
  forAll @1 :Bool;
}

# A start of an endpoint that has announced its shutdown in an answer; a time of its
# start that is not known is below 0.
struct DrainingStart {
  endpoint @0 :Text;
  born @1 :Int64;
  # Seconds since that answer.
  age @2 :Float64;
}

struct DrainingNews {
  rows @0 :List(DrainingStart);
  # Whether relays forward it to all VMs of their data hall.
  forAll @1 :Bool;
}

struct AskPermit {
  limit @0 :RateLimit;
  priority @1 :Int32;
  # Seconds for which the sender can wait.
  patience @2 :Float64;
}

struct Permit {
  limit @0 :RateLimit;
  granted @1 :Bool;
  issuer @2 :Bool;
  wait @3 :Float64;
}

# A start of an endpoint that a VM asks another one to reach; a time of its start that
# is not known is below 0.
struct EndpointStart {
  endpoint @0 :Text;
  born @1 :Int64;
  # The request that a tunnel is for.
  request @2 :Text;
  # Whether the sender reads frames from a tunnel.
  framed @3 :Bool;
}

struct Reach {
  # A word: see walnutquay.state.routed.links.Reach.
  reach @0 :Text;
  # The connections that the sender forwards.
  tunnels @1 :UInt32;
  # Whether what it passes on of the endpoint comes in frames.
  framed @2 :Bool;
}

# The requests of the sender at a brittle endpoint; a time of its start that is not known
# is below 0.
struct Place {
  endpoint @0 :Text;
  born @1 :Int64;
  # With those that it wants to send.
  requests @2 :UInt32;
  # Later messages of a VM have higher numbers.
  number @3 :UInt64;
  # Without those that it wants to send.
  running @4 :UInt32;
}

struct PlaceAnswer {
  granted @0 :Bool;
  issuer @1 :Bool;
  wait @2 :Float64;
}

struct BrittleNews {
  endpoint @0 :Text;
  born @1 :Int64;
  # Rejections a second that it survives.
  borne @2 :UInt32;
  rejected @3 :Bool;
}

# A request for one of a service's scarce slots; times are seconds.
struct AskSlot {
  service @0 :Text;
  number @1 :UInt64;
  route @2 :Text;
  organisation @3 :Text;
  weight @4 :Float64;
  priority @5 :Int32;
  work @6 :UInt64;
  # Below 0 if an answer would be late already.
  inTime @7 :Float64;
  timeLeft @8 :Float64;
  tried @9 :List(Text);
  waited @10 :Float64;
  loads @11 :List(SlotLoad);
  held @12 :List(HeldSlot);
}

# What an endpoint told of its load; a pace that it did not tell is below 0.
struct SlotLoad {
  endpoint @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  pace @3 :Float64;
  # Seconds since its answer.
  age @4 :Float64;
}

# A request of the sender that is at an endpoint.
struct HeldSlot {
  number @0 :UInt64;
  endpoint @1 :Text;
  # Seconds until its caller gives up.
  timeLeft @2 :Float64;
}

struct SlotAnswer {
  # A word: see walnutquay.protocol.slotmessages.SlotState.
  state @0 :Text;
  endpoint @1 :Text;
  # Below 0 where no room is forecast.
  retryAfter @2 :Float64;
  reason @3 :Text;
  # Changes with each start of the sender.
  start @4 :UInt64;
}

struct SlotNews {
  service @0 :Text;
  number @1 :UInt64;
  answer @2 :SlotAnswer;
}

struct SlotReleased {
  service @0 :Text;
  number @1 :UInt64;
  # Empty if it was not sent.
  endpoint @2 :Text;
  seconds @3 :Float64;
  # Whether the endpoint had no room for it.
  rejected @4 :Bool;
  # What the endpoint told as it answered; at most one.
  loads @5 :List(SlotLoad);
}

struct SlotsScarce {
  service @0 :Text;
  seconds @1 :Float64;
}

# The new connections of callers in the last second, and the seconds for which they wait
# to be accepted.
struct Arrivals {
  perSecond @0 :Float64;
  wait @1 :Float64;
  # Whether the receiver is to tell the same of itself.
  asks @2 :Bool;
}
