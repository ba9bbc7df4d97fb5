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

/// In units of the team's limit.
struct TeamDemand {
    /// Recent demand.
    float perSecond { 0 };
    /// All that the node admitted since its start.
    double admitted { 0 };

    bool operator==(TeamDemand const&) const = default;
};

/// What a node tells the others a few times a second.
struct NodeReport {
    std::string node;
    std::uint64_t incarnation { 0 };
    std::string dataCentre;
    /// "address:port" for datagrams.
    std::string endpoint;
    std::int64_t sentAtUnixMilliseconds { 0 };
    std::uint64_t configurationVersion { 0 };
    /// Revision of the store up to which the node knows the servers.
    std::uint64_t serversRevision { 0 };
    /// Requests in progress, by hashId().
    std::map<std::uint64_t, std::uint16_t> loads;
    /// By team.
    std::map<std::string, TeamDemand> demands;
    /// The node's own counts of recent windows.
    CountsByWindow usage;
    /// Endpoints of other nodes that it hears.
    std::vector<std::string> peers;
    std::vector<std::uint64_t> quarantined;
    bool isLeaving { false };
    /// Whether it holds the lease for the duties of one node at a time.
    bool holdsDuties { false };
    /// Whether it reads the platform's store itself, and succeeds.
    bool followsStore { false };
    /// Time between two of its reports.
    std::chrono::milliseconds interval { 250 };
    /// Whether usage, peers, quarantined requests and some demands are left out.
    bool isBrief { false };

    bool operator==(NodeReport const&) const = default;
};

/// The part of a report that is sent between full ones: what placement and team limits need at once. Demands that did not grow
/// since the report before and admitted nothing are left out. Thread safe.
[[nodiscard]] NodeReport briefReport(NodeReport const&, NodeReport const& before);

/// Names a server in a report. Thread safe.
[[nodiscard]] std::uint64_t hashId(std::string_view serverId);

/// Packed Cap'n Proto. Thread safe.
[[nodiscard]] std::string encodeReport(NodeReport const&);

/// Nothing for bytes that are not a report. Thread safe.
[[nodiscard]] std::optional<NodeReport> decodeReport(std::string_view);

}
