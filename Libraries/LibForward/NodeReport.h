#pragma once

#include <LibCore/StoreRevision.h>
#include <LibForward/UsageTable.h>
#include <LibRollout/RolloutTable.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Forward {

/// Demand and admissions of a team at one node, in units of the team's limit.
struct TeamDemand {
    /// Recent demand in units a second.
    float perSecond { 0 };
    /// Total admitted since the node started.
    double admitted { 0 };

    bool operator==(TeamDemand const&) const = default;
};

/// What the loads, demands and usage of a report cover.
enum class ReportScope : std::uint8_t {
    /// The sending node.
    Node,
    /// All nodes of the sender's data centre.
    DataCentre,
    /// All nodes.
    Deployment,
};

/// A node that can aggregate reports and that others may fetch data from.
struct NodeContact {
    std::string node;
    std::string dataCentre;
    /// "address:port" at which the node receives datagrams.
    std::string endpoint;
    float processorShare { 0 };
    std::uint64_t configurationVersion { 0 };
    Core::StoreRevision serversRevision;
    bool watchesStore { false };

    bool operator==(NodeContact const&) const = default;
};

/// A crash of a backend server (Limits::SuspectCrash), with its age at the time of the report.
struct PartCrashReport {
    std::chrono::milliseconds age { 0 };
    /// By serverKey(); 0 if the sender did not say it.
    std::uint32_t server { 0 };

    bool operator==(PartCrashReport const&) const = default;
};

/// By the number of the crash.
using PartCrashReports = std::map<std::uint32_t, PartCrashReport>;

/// Evidence on a prompt part that may crash backend servers (Limits::SuspectPart), with ages at the time of the report.
struct SuspectPartReport {
    std::uint64_t part { 0 };
    PartCrashReports crashes;
    PartCrashReports otherCrashes;
    std::optional<std::chrono::milliseconds> soundAge;
    bool isPrefix { false };

    bool operator==(SuspectPartReport const&) const = default;
};

/// A server that stated that it is leaving. Never true of another incarnation.
struct LeavingServer {
    /// hashId() of the server's id.
    std::uint64_t server { 0 };
    std::uint64_t incarnation { 0 };

    bool operator==(LeavingServer const&) const = default;
};

/// An order to move the traffic of a service to a version, with its state, and the evidence of the nodes in the scope on the version.
struct RolloutReport {
    Rollout::Order order;
    Rollout::Evidence evidence;

    bool operator==(RolloutReport const&) const = default;
};

/// The state that nodes send to each other a few times a second.
struct NodeReport {
    /// The sender.
    std::string node;
    std::uint64_t incarnation { 0 };
    std::string dataCentre;
    /// "address:port" at which the node receives datagrams.
    std::string endpoint;
    std::int64_t sentAtUnixMilliseconds { 0 };
    std::uint64_t configurationVersion { 0 };
    /// The store revision up to which the node has read the servers.
    Core::StoreRevision serversRevision;
    /// Requests in progress, by serverKey().
    std::map<std::uint32_t, std::uint16_t> loads;
    /// By team.
    std::map<std::string, TeamDemand> demands;
    /// Usage counts for recent windows.
    CountsByWindow usage;
    /// Endpoints of the other nodes whose reports it receives.
    std::vector<std::string> peers;
    /// Fingerprints of requests that crashed servers, and how much longer they are refused if the sender said it.
    std::map<std::uint64_t, std::optional<std::chrono::milliseconds>> quarantined;
    /// Prompt parts that may crash servers. Also in brief reports, since each crash counts until all nodes refuse such a part.
    std::vector<SuspectPartReport> suspectParts;
    /// Whole requests that may crash servers, with their fingerprints in place of the parts' hashes. Also in brief reports.
    std::vector<SuspectPartReport> suspectRequests;
    /// Servers whose entries do not say yet that they are leaving, known from their responses or from other nodes. Also in brief reports.
    std::vector<LeavingServer> leavingServers;
    /// Also in brief reports, since a version that one node finds bad must get no request from any.
    std::vector<RolloutReport> rollouts;
    /// The store revision up to which the orders of rollouts have been read by any node.
    Core::StoreRevision rolloutsRevision;
    bool isLeaving { false };
    /// Whether a node in the scope holds the lease for the duties that only one node performs at a time.
    bool holdsDuties { false };
    /// Whether it watches the platform's store itself, without errors.
    bool watchesStore { false };
    /// Interval between its reports.
    std::chrono::milliseconds interval { 250 };
    /// Whether usage, peers, contacts, quarantined requests and, for a single node, some demands are omitted.
    bool isBrief { false };
    ReportScope scope { ReportScope::Node };
    /// Number of nodes in the scope.
    std::uint32_t nodes { 1 };
    /// The sender's share of a processor core.
    float processorShare { 0 };
    /// The node whose sums of the deployment the sender uses; empty if it uses none.
    std::string aggregator;
    /// For the scope Deployment: the highest ranked nodes of each data centre.
    std::vector<NodeContact> contacts;
    /// For the scope Deployment: data centres from which no node has reported recently.
    std::vector<std::string> silentDataCentres;

    bool operator==(NodeReport const&) const = default;
};

/// Returns the part of a report that is sent between full ones: what placement and team limits need without delay. Omits teams
/// whose demand did not grow and that had no admissions since the previous report. Thread safe.
[[nodiscard]] NodeReport briefReport(NodeReport const&, NodeReport const& before);

/// XXH3 hash of the id of a server or node. Thread safe.
[[nodiscard]] std::uint64_t hashId(std::string_view id);

/// The lower half of hashId(), by which reports identify servers; two servers with the same key only share their load. Thread safe.
[[nodiscard]] std::uint32_t serverKey(std::string_view id);

/// Encodes a report as packed Cap'n Proto. Thread safe.
[[nodiscard]] std::string encodeReport(NodeReport const&);

/// Returns an empty optional for bytes that are not a valid report, or one with numbers that no node sends. Thread safe.
[[nodiscard]] std::optional<NodeReport> decodeReport(std::string_view);

}
