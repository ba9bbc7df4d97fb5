#pragma once

#include <LibCore/Runtime.h>
#include <LibForward/PlatformCodec.h>
#include <LibForward/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <vector>

namespace Forward {

/// Number of a service's servers in one data centre, excluding those that are leaving.
struct ServerCounts {
    std::uint32_t onDemand { 0 };
    std::uint32_t reclaimable { 0 };

    bool operator==(ServerCounts const&) const = default;
};

/// The last order by service, data centre and kind of server, and the platform's response to it.
struct OrderTable {
    struct Row {
        std::uint32_t desired { 0 };
        bool isAccepted { false };
        Core::MonotonicTime orderedAt;
        /// No order is sent before this time, after a refusal.
        Core::MonotonicTime backoffUntil;
        std::uint32_t refusals { 0 };
        /// Since when fewer servers are sufficient.
        std::optional<Core::MonotonicTime> surplusSince;

        bool operator==(Row const&) const = default;
    };
    struct Key {
        std::string service;
        std::string dataCentre;
        bool reclaimable { false };

        auto operator<=>(Key const&) const = default;
    };
    std::map<Key, Row> rows;

    bool operator==(OrderTable const&) const = default;
};

/// Counts the servers of a service by data centre.
[[nodiscard]] std::map<std::string, ServerCounts> countServers(std::vector<Routing::ListedServer> const&, std::string const& service);

/// Parameters for the number of a service's servers.
struct ScalingPolicy {
    /// Reclaimable servers in each data centre, as a fraction of the maximum that the platform allows there. The number does not follow
    /// the demand: a removed server's cache is lost, a new server's cache is empty, and reclaimable servers cost a fraction of the
    /// on-demand price.
    double reclaimableFraction { 0.67 };
    /// Minimum number of on-demand servers over all data centres, which still serve when all reclaimable ones are reclaimed.
    std::uint32_t minimumOnDemand { 1 };
    /// Target number of requests in progress for each server.
    double requestsPerServer { 18 };
    /// Upper bound of that target, as a fraction of the server's slots.
    double maximumSlotFraction { 0.35 };

    bool operator==(ScalingPolicy const&) const = default;
};

/// The demand for a service over all nodes. Every node tracks it, so that a new lease holder knows the demand.
struct ServiceDemand {
    /// Exponentially smoothed; follows growth faster than decline, since servers take seconds to start.
    double requestsInProgress { 0 };
    /// When the first request in progress was observed.
    std::optional<Core::MonotonicTime> firstRequestAt;
    /// When the first servers were observed.
    std::optional<Core::MonotonicTime> firstServersAt;
    /// Maximum number of on-demand servers observed before the first request.
    std::uint32_t initialOnDemand { 0 };

    bool operator==(ServiceDemand const&) const = default;
};

/// Updates the demand with the current requests in progress and servers; called about twice a second.
void observeDemand(ServiceDemand&, std::uint32_t requestsInProgress, std::map<std::string, ServerCounts> const&, Core::MonotonicTime now);

/// Returns the number of servers that the demand needs; before the first request, at least the on-demand servers that the
/// deployment started with. Returns an empty optional while the demand has been observed for too short a time to change the number
/// of on-demand servers. Thread safe.
[[nodiscard]] std::optional<std::uint32_t> neededServers(Service const&, ServiceDemand const&, ScalingPolicy const&, Core::MonotonicTime now);

/// Decides the orders for a service. Reclaimable servers are ordered in every data centre, since they cost a fraction of the
/// on-demand price. On-demand servers, in the cheapest data centres first, cover the need that would remain if the data centre
/// with the most reclaimable servers lost all of them: the platform may reclaim whole data centres one after the other and have no
/// new reclaimable servers meanwhile. On-demand servers are removed only once the reclaimable ones are registered and a surplus
/// has lasted for a while. Orders are absolute numbers, so repeating one changes nothing.
[[nodiscard]] std::vector<ServerOrder> decideOrders(Service const&, std::map<std::string, ServerCounts> const&, ServiceDemand const&, OrderTable&, ScalingPolicy const&, Core::MonotonicTime now);

/// Records whether the platform accepted an order.
void recordOrder(OrderTable&, ServerOrder const&, bool isAccepted, Core::MonotonicTime now);

}
