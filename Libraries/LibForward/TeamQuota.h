#pragma once

#include <LibForward/PeerTable.h>
#include <LibForward/RequestCodec.h>
#include <LibForward/RouteTable.h>
#include <LibLimits/TeamLimitTable.h>
#include <map>
#include <string>

namespace Forward {

/// How exactly the platform wants team limits to be kept over all nodes.
struct QuotaTolerance {
    std::chrono::seconds window { 8 };
    /// Units by which a window may pass the limit.
    double slack { 0 };
    /// How often the nodes hear of each other's admissions.
    std::chrono::milliseconds reportInterval { 250 };

    bool operator==(QuotaTolerance const&) const = default;
};

/// Whether the limits count as unused when a process starts.
enum class InitialQuota {
    Full,
    /// The process, or all of them, may have used the limits up just before they were started again. Each node admits its share.
    Empty,
};

/// This node's admissions by team. Not thread safe.
struct QuotaTable {
    struct Row {
        /// What is left of the team's limit over all nodes, by this node's admissions and those that the others reported.
        Limits::TokenBucket deploymentBucket;
        /// What is left of this node's share of it.
        Limits::TokenBucket nodeBucket;
        /// All that this node admitted since its start.
        double admitted { 0 };
        /// Exponentially weighted, in units a second, admitted or not.
        double demand { 0 };
        Core::MonotonicTime demandUpdatedAt;

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row, std::less<>> rows;
    InitialQuota initialQuota { InitialQuota::Full };
    Core::MonotonicTime startedAt;

    bool operator==(QuotaTable const&) const = default;
};

/// What a request costs its team, in the team's unit. Thread safe.
[[nodiscard]] double quotaCost(Team const&, std::optional<TokenCounts> const&);

/// The team's recent demand at this node, in units a second.
[[nodiscard]] double quotaDemand(QuotaTable const&, std::string_view team, Core::MonotonicTime now);

/// The share of a team's limit by which this node admits. When all nodes have started again none knows how many there are until their
/// first reports have come; until then it goes by the number of backend servers, which the store tells at once.
[[nodiscard]] double admissionShare(QuotaTable const&, PeerTable const&, std::size_t servers, std::string const& team, Core::MonotonicTime now);

/// Takes in what another node admitted since its last report.
void chargeQuota(QuotaTable&, std::string_view team, double admittedElsewhere);

/// Adds the cost to the team's demand and decides whether to admit the request. While much of the limit is left over all nodes, it is
/// admitted wherever it arrives, so that uneven arrivals do not refuse what the team is due. Once little is left, each node admits
/// its share of the rate, since the others' admissions are known late; the shares of all nodes add up to one. Returns nothing
/// if the request is admitted, or the time after which it would be. Answers both a team at half of its limit with few
/// requests at each node and a team that sends many times its usual.
[[nodiscard]] std::optional<std::chrono::milliseconds> admitToQuota(QuotaTable&, Team const&, double cost, double share, QuotaTolerance const&, Core::MonotonicTime now);

}
