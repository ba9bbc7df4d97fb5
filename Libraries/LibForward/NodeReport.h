#pragma once

#include <LibForward/UsageTable.h>
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

/// The state that a node sends to all others a few times a second.
struct NodeReport {
    std::string node;
    std::uint64_t incarnation { 0 };
    std::string dataCentre;
    /// "address:port" at which the node receives datagrams.
    std::string endpoint;
    std::int64_t sentAtUnixMilliseconds { 0 };
    std::uint64_t configurationVersion { 0 };
    /// The store revision up to which the node has read the servers.
    std::uint64_t serversRevision { 0 };
    /// Requests in progress, by hashId().
    std::map<std::uint64_t, std::uint16_t> loads;
    /// By team.
    std::map<std::string, TeamDemand> demands;
    /// The node's own usage counts for recent windows.
    CountsByWindow usage;
    /// Endpoints of the other nodes whose reports it receives.
    std::vector<std::string> peers;
    /// Fingerprints of requests that crashed servers.
    std::vector<std::uint64_t> quarantined;
    bool isLeaving { false };
    /// Whether it holds the lease for the duties that only one node performs at a time.
    bool holdsDuties { false };
    /// Whether it watches the platform's store itself, without errors.
    bool watchesStore { false };
    /// Interval between its reports.
    std::chrono::milliseconds interval { 250 };
    /// Whether usage, peers, quarantined requests and some demands are omitted.
    bool isBrief { false };

    bool operator==(NodeReport const&) const = default;
};

/// Returns the part of a report that is sent between full ones: what placement and team limits need without delay. Omits teams
/// whose demand did not grow and that had no admissions since the previous report. Thread safe.
[[nodiscard]] NodeReport briefReport(NodeReport const&, NodeReport const& before);

/// XXH3 hash of the id of a server or node. Reports identify servers by it. Thread safe.
[[nodiscard]] std::uint64_t hashId(std::string_view id);

/// Encodes a report as packed Cap'n Proto. Thread safe.
[[nodiscard]] std::string encodeReport(NodeReport const&);

/// Returns an empty optional for bytes that are not a valid report. Thread safe.
[[nodiscard]] std::optional<NodeReport> decodeReport(std::string_view);

}
