#pragma once

#include <LibForward/PeerTable.h>
#include <LibForward/RequestCodec.h>
#include <LibForward/RouteTable.h>
#include <LibLimits/TeamLimitTable.h>
#include <map>
#include <string>

namespace Forward {

/// The precision with which team limits must be enforced over all nodes.
struct QuotaTolerance {
    std::chrono::seconds window { 8 };
    /// Units by which the admissions of a window may exceed the limit.
    double slack { 0 };
    /// Interval at which the nodes report their admissions to each other; see reportDelay().
    std::chrono::milliseconds reportInterval { 250 };
    /// The part of the limit that nodes use which are silent; see silentShare().
    double silentShare { 0 };
    /// For how many intervals this node has not heard what the others admit; see missedSums().
    double missedSums { 0 };

    bool operator==(QuotaTolerance const&) const = default;
};

/// Quota that is available when the process starts.
enum class InitialQuota {
    /// The limits are unused.
    Full,
    /// A restart: the limits may have been used up just before it. Each node admits only its share.
    Empty,
};

/// This node's admissions by team. Not thread safe.
struct QuotaTable {
    struct Row {
        /// Remaining quota of the team over all nodes, by this node's admissions and those reported by the others.
        Limits::TokenBucket deploymentBucket;
        /// At which the bucket above is refilled, in units a second, and its capacity.
        double refillRate { 0 };
        double capacity { 0 };
        /// What the full bucket could not take lately. Admissions that are charged later than they happened had made room for it.
        double overflow { 0 };
        /// Whether this node has had its part in the repayment of an excess since the deployment's quota was last half full.
        bool isRepaying { false };
        /// Remaining quota of this node's share.
        Limits::TokenBucket nodeBucket;
        /// Total admitted since this node started.
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

/// Returns the cost of a request in the team's unit. Thread safe.
[[nodiscard]] double quotaCost(Team const&, std::optional<TokenCounts> const&);

/// Returns the team's recent demand at this node, in units a second.
[[nodiscard]] double quotaDemand(QuotaTable const&, std::string_view team, Core::MonotonicTime now);

/// Adds a request that is refused before its team's limit is checked to the team's demand.
void recordQuotaDemand(QuotaTable&, std::string_view team, double cost, Core::MonotonicTime now);

/// Returns the share of a team's limit that this node may admit, a fraction: demandBasedShare(), except after a restart. After a
/// restart of all nodes, none knows how many nodes there are until their first reports arrive; until then the number is estimated
/// from the backend servers, which the store lists at once. A node that starts again behind a partition keeps that share for as long as
/// the others keep free the one that it had before.
[[nodiscard]] double admissionShare(QuotaTable const&, PeerTable const&, std::size_t servers, std::string const& team, Core::MonotonicTime now);

/// Begins to account for a team when its configuration is known, so that the admissions of other nodes are charged also before the team's
/// first request at this node.
void prepareQuota(QuotaTable&, Team const&, QuotaTolerance const&);

/// Charges what another node admitted since its last report to the quota of the deployment. The quota is refilled for the time until now
/// first: a node without requests in that time must not gain the same time again after the charge.
void chargeQuota(QuotaTable&, std::string_view team, double admittedElsewhere, Core::MonotonicTime now);

/// Adds the cost to the team's demand and decides whether to admit the request, given this node's admissionShare(). Returns an empty
/// optional if the request is admitted, else the time after which it would be.
/// While much of the deployment's quota is left, any node admits the request, so that a team within its limit is not refused because
/// its requests are few or unevenly distributed. Once little is left, each node admits only its share of the rate, since it learns of
/// the others' admissions only from their next reports; the shares of all nodes add up to one. This bounds a team that sends a multiple
/// of its usual traffic. A request that costs more than a whole window allows is refused, and is not part of the demand.
[[nodiscard]] std::optional<std::chrono::milliseconds> admitToQuota(QuotaTable&, Team const&, double cost, double share, QuotaTolerance const&, Core::MonotonicTime now);

}
