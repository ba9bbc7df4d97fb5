@0xc1f0a7d2b95e4c83;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Forward::wire");

# What a node tells the others a few times a second, in one datagram. Counts only grow, so that a lost datagram costs nothing.
# Generate the C++ code with `capnp compile -oc++ NodeReport.capnp` after a change, and rename the file that ends in c++ to cpp.

struct ServerLoad {
    # XXH3 of the server's id.
    server @0 :UInt64;
    inProgress @1 :UInt16;
}

struct TeamDemand {
    team @0 :Text;
    # In the unit of the team's limit.
    perSecond @1 :Float32;
    # All that the node admitted since its start, in the same unit.
    admitted @2 :Float64;
}

struct TeamCount {
    team @0 :Text;
    count @1 :UInt32;
}

struct UsageWindow {
    window @0 :Int64;
    counts @1 :List(TeamCount);
}

struct NodeReport {
    node @0 :Text;
    incarnation @1 :UInt64;
    dataCentre @2 :Text;
    # IP number and UDP port.
    endpoint @3 :Text;
    sentAtUnixMilliseconds @4 :Int64;
    configurationVersion @5 :UInt64;
    # Revision of the store up to which the node knows the servers.
    serversRevision @6 :UInt64;
    loads @7 :List(ServerLoad);
    demands @8 :List(TeamDemand);
    usage @9 :List(UsageWindow);
    # Endpoints of other nodes that are heard.
    peers @10 :List(Text);
    # Fingerprints of requests that crashed servers.
    quarantined @11 :List(UInt64);
    leaving @12 :Bool;
    # Whether the node holds the lease for the duties of one node at a time.
    holdsDuties @13 :Bool;
    # Whether the node reads the platform's store itself, and succeeds.
    followsStore @14 :Bool;
    # Time between two reports of the node.
    intervalMilliseconds @15 :UInt32 = 250;
    # Whether usage, peers, quarantined and some demands are left out; the last full report holds for them.
    brief @16 :Bool;
}
