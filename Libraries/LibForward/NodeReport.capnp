@0xc1f0a7d2b95e4c83;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Forward::wire");

# The state that a node sends to all others a few times a second, in one datagram. Counts only grow, so a lost datagram needs no
# retransmission.
# After a change, generate the C++ code with `capnp compile -oc++ NodeReport.capnp` and rename the .c++ file to .cpp.

struct ServerLoad {
    # XXH3 hash of the server's id.
    server @0 :UInt64;
    inProgress @1 :UInt16;
}

struct ServerLoadByKey {
    # Lower half of the hash of the server's id.
    key @0 :UInt32;
    inProgress @1 :UInt16;
}

struct TeamDemand {
    team @0 :Text;
    # In the unit of the team's limit.
    perSecond @1 :Float32;
    # Total admitted since the node started, in the same unit.
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

struct PartCrash {
    # Random number that identifies the crash in later reports.
    crash @0 :UInt32;
    ageMilliseconds @1 :UInt32;
    # Lower half of the hash of the server's id; 0 in reports of earlier versions.
    server @2 :UInt32;
}

# Evidence on a prompt part that may crash servers.
struct SuspectPart {
    # XXH3 hash of the part's id.
    part @0 :UInt64;
    crashes @1 :List(PartCrash);
    # The time since a request with the part succeeded; negative if none did.
    soundAgeMilliseconds @2 :Int32 = -1;
    # Whether another shared part followed it in the prompt of one of the requests.
    isPrefix @3 :Bool;
    # Further crashes, which explain those of other parts and do not count against this one.
    otherCrashes @4 :List(PartCrash);
}

struct LeavingServer {
    # XXH3 hash of the server's id.
    server @0 :UInt64;
    incarnation @1 :UInt64;
}

struct NodeContact {
    node @0 :Text;
    dataCentre @1 :Text;
    endpoint @2 :Text;
    processorShare @3 :Float32;
    configurationVersion @4 :UInt64;
    serversRevision @5 :UInt64;
    watchesStore @6 :Bool;
    serversEra @7 :UInt64;
}

# Cumulative counts of the responses of one group of servers on one route.
struct RolloutCounts {
    isCandidate @0 :Bool;
    route @1 :Text;
    responses @2 :UInt32;
    failures @3 :UInt32;
    broken @4 :UInt32;
    # A histogram; see Rollout::timeClassOf().
    times @5 :List(UInt32);
}

# An order to move the traffic of a service to a version, its state, and the evidence of the nodes in the scope on the version.
struct Rollout {
    enum State {
        running @0;
        completing @1;
        completed @2;
        rolledBack @3;
    }

    service @0 :Text;
    to @1 :Text;
    periodMilliseconds @2 :UInt64;
    state @3 :State;
    startedAtUnixMilliseconds @4 :Int64;
    revision @5 :UInt64;
    era @6 :UInt64;
    foundBad @7 :Bool;
    reason @8 :Text;
    rejectedVersions @9 :List(Text);
    evidence @10 :List(RolloutCounts);
}

struct Rollouts {
    orders @0 :List(Rollout);
    # The store revision up to which the orders have been read by any node, and its era.
    revision @1 :UInt64;
    era @2 :UInt64;
}

struct NodeReport {
    enum Scope {
        node @0;
        dataCentre @1;
        deployment @2;
    }

    node @0 :Text;
    incarnation @1 :UInt64;
    dataCentre @2 :Text;
    # IP address and UDP port.
    endpoint @3 :Text;
    sentAtUnixMilliseconds @4 :Int64;
    configurationVersion @5 :UInt64;
    # The store revision up to which the node has read the servers.
    serversRevision @6 :UInt64;
    # Written by earlier versions; replaced by loadsByKey.
    loads @7 :List(ServerLoad);
    demands @8 :List(TeamDemand);
    usage @9 :List(UsageWindow);
    # Endpoints of the other nodes whose reports arrive.
    peers @10 :List(Text);
    # Fingerprints of requests that crashed servers.
    quarantined @11 :List(UInt64);
    leaving @12 :Bool;
    # Whether the node holds the lease for the duties that only one node performs at a time.
    holdsDuties @13 :Bool;
    # Whether the node watches the platform's store itself, without errors.
    followsStore @14 :Bool;
    # Interval between the node's reports.
    intervalMilliseconds @15 :UInt32 = 250;
    # Whether usage, peers, quarantined and some demands are omitted; their values in the last full report remain valid.
    brief @16 :Bool;
    # What loads, demands and usage cover: the sending node, or all nodes that it knows of its data centre or of the deployment.
    scope @17 :Scope;
    # Number of nodes that they cover.
    nodes @18 :UInt32 = 1;
    processorShare @19 :Float32;
    # The node whose sums of the deployment this node uses.
    aggregator @20 :Text;
    # In sums of the deployment: nodes that can aggregate, and data centres from which no report arrives.
    contacts @21 :List(NodeContact);
    silentDataCentres @22 :List(Text);
    loadsByKey @23 :List(ServerLoadByKey);
    # Also in brief reports.
    suspectParts @24 :List(SuspectPart);
    # The era of serversRevision.
    serversEra @25 :UInt64;
    # Servers that stated that they are leaving, and whose entries do not say so. Also in brief reports.
    leavingServers @26 :List(LeavingServer);
    # Evidence on whole requests, whose fingerprints are in place of the parts' hashes. Also in brief reports.
    suspectRequests @27 :List(SuspectPart);
    # How much longer each of quarantined is refused; empty in reports of earlier versions.
    quarantinedMilliseconds @28 :List(UInt32);
    # Absent in deployments without rollouts. Also in brief reports.
    rollouts @29 :Rollouts;
}
