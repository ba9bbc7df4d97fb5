#pragma once

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

    bool operator==(QuotaTolerance const&) const = default;
};

/// This node's admissions by team. Not thread safe.
struct QuotaTable {
    struct Row {
        Limits::TokenBucket bucket;
        /// Exponentially weighted, in units a second, admitted or not.
        double demand { 0 };
        Core::MonotonicTime demandAt;

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row, std::less<>> rows;

    bool operator==(QuotaTable const&) const = default;
};

/// What a request costs its team, in the team's unit. Thread safe.
[[nodiscard]] double quotaCost(Team const&, std::optional<TokenCounts> const&);

/// The team's recent demand at this node, in units a second.
[[nodiscard]] double quotaDemand(QuotaTable const&, std::string_view team, Core::MonotonicTime now);

/// Adds the cost to the team's demand and admits the request against this node's share of the limit; the shares of all nodes add
/// up to one. Returns nothing if it is admitted, or the time after which it would be. A part of the tolerated excess
/// is used as burst, so that uneven arrivals at the nodes do not refuse what the team is due.
[[nodiscard]] std::optional<std::chrono::milliseconds> admitToQuota(QuotaTable&, Team const&, double cost, double share, QuotaTolerance const&, Core::MonotonicTime now);

}
