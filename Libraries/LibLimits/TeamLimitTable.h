#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Limits {

/// A team's limit over the whole deployment. Zero means no limit.
struct TeamLimit {
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };
    std::uint32_t concurrentRequests { 0 };

    bool operator==(TeamLimit const&) const = default;
};

/// What is known of the demand for one team, to compute this node's share of the limit.
struct DemandSnapshot {
    /// This node's recent demand, admitted or not, in requests a second.
    double ownDemand { 0 };
    /// The demand of the other live nodes of the data centre whose usage is known.
    std::vector<double> otherDemands;
    /// Live nodes, this one included.
    std::uint32_t nodesInDataCentre { 1 };
    std::uint32_t nodesInDeployment { 1 };

    bool operator==(DemandSnapshot const&) const = default;
};

/// This node's share of a team's limit, in (0, 1]. A data centre gets the share of its nodes; within it one fifth is divided
/// equally, so that a node without recent demand can admit at once, and the rest by demand. Nodes that hold the same view
/// have shares that add up to 1. Thread safe.
[[nodiscard]] double nodeShare(DemandSnapshot const&);

/// A token bucket that holds up to one second of its rate, and at least one request.
struct TokenBucket {
    double level { 0 };
    Core::MonotonicTime refilledAt;
    bool initialized { false };

    bool operator==(TokenBucket const&) const = default;
};

/// Takes an amount from a bucket, or returns the time until it is available. The rate is in units a second and above zero.
[[nodiscard]] std::optional<Core::Duration> takeFromBucket(TokenBucket&, double amount, double rate, Core::MonotonicTime now);

/// The same for a bucket that holds up to the given capacity, which is above zero.
[[nodiscard]] std::optional<Core::Duration> takeFromBucket(TokenBucket&, double amount, double rate, double capacity, Core::MonotonicTime now);

/// This node's admissions for each team. Not thread safe.
struct TeamLimitTable {
    struct Row {
        TokenBucket requests;
        TokenBucket tokens;
        std::uint32_t inProgress { 0 };
        /// Exponentially weighted, in requests a second.
        double demand { 0 };
        Core::MonotonicTime demandUpdatedAt;

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row, std::less<>> rows;

    bool operator==(TeamLimitTable const&) const = default;
};

/// Adds one arrival to the team's demand, admitted or not.
void recordDemand(TeamLimitTable&, std::string_view team, Core::MonotonicTime now);

/// The team's recent demand at this node, in requests a second.
[[nodiscard]] double demandOf(TeamLimitTable const&, std::string_view team, Core::MonotonicTime now);

/// Admits a request against this node's share of the limit, or fails with TeamLimitExceeded (RunState::NotRun) and the time
/// after which it would be admitted. An admitted request counts as in progress until release().
[[nodiscard]] bool admit(TeamLimitTable&, std::string_view team, TeamLimit const&, double share, std::uint32_t expectedTokens, Core::MonotonicTime now, Core::Error&);

/// Ends an admitted request; tokens it did not use go back to the team's bucket.
void release(TeamLimitTable&, std::string_view team, std::uint32_t expectedTokens, std::uint32_t usedTokens);

}
