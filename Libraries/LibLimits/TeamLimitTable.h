#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Limits {

/// A team's limits over the whole deployment. Zero means no limit.
struct TeamLimit {
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };
    std::uint32_t concurrentRequests { 0 };

    bool operator==(TeamLimit const&) const = default;
};

/// The known demand of one team, from which this node's fraction of the limit is computed.
struct DemandSnapshot {
    /// This node's recent demand, admitted or not, in requests per second.
    double ownDemand { 0 };
    /// The demand of the other live nodes of the data centre whose usage is known.
    std::vector<double> otherDemands;
    /// Live nodes, this one included.
    std::uint32_t nodesInDataCentre { 1 };
    std::uint32_t nodesInDeployment { 1 };

    bool operator==(DemandSnapshot const&) const = default;
};

/// The fraction of a team's limit that this node may admit, in (0, 1]. The limit is divided over data centres by their number of
/// nodes; within a data centre one fifth is divided equally, so that a node without recent demand can admit immediately, and the
/// rest by demand. The fractions of nodes with consistent snapshots add up to 1. Thread safe.
[[nodiscard]] double nodeLimitFraction(DemandSnapshot const&);

/// A token bucket that holds up to one second of its rate, and at least one request.
struct TokenBucket {
    double level { 0 };
    Core::MonotonicTime refilledAt;
    bool initialized { false };

    bool operator==(TokenBucket const&) const = default;
};

/// Takes an amount from a bucket, or returns the time until it is available, at most a day. The rate is in units per second and above zero.
[[nodiscard]] std::optional<Core::Duration> takeFromBucket(TokenBucket&, double amount, double rate, Core::MonotonicTime now);

/// The same with the given capacity, which is above zero.
[[nodiscard]] std::optional<Core::Duration> takeFromBucket(TokenBucket&, double amount, double rate, double capacity, Core::MonotonicTime now);

/// This node's admissions for each team. Not thread safe.
struct TeamLimitTable {
    struct Row {
        TokenBucket requests;
        TokenBucket tokens;
        std::uint32_t inProgress { 0 };
        /// Exponentially decaying, in requests per second.
        double demand { 0 };
        Core::MonotonicTime demandUpdatedAt;

        bool operator==(Row const&) const = default;
    };
    std::map<std::string, Row, std::less<>> rows;

    bool operator==(TeamLimitTable const&) const = default;
};

/// Adds one arrival to the team's demand, admitted or not.
void recordDemand(TeamLimitTable&, std::string_view team, Core::MonotonicTime now);

/// The team's recent demand at this node, in requests per second.
[[nodiscard]] double demandOf(TeamLimitTable const&, std::string_view team, Core::MonotonicTime now);

/// Admits a request against this node's fraction of the limit, or fails with TeamLimitExceeded (RunState::NotRun) and the time
/// after which it would be admitted. An admitted request counts as in progress until release().
[[nodiscard]] bool admit(TeamLimitTable&, std::string_view team, TeamLimit const&, double limitFraction, std::uint32_t expectedTokens, Core::MonotonicTime now, Core::Error&);

/// Ends an admitted request and returns its unused tokens to the team's bucket.
void release(TeamLimitTable&, std::string_view team, std::uint32_t expectedTokens, std::uint32_t usedTokens);

}
