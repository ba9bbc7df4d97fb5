#pragma once

#include <LibCore/Runtime.h>
#include <LibForward/PlatformCodec.h>
#include <LibForward/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <vector>

namespace Forward {

/// One service's servers in one data centre, without those that leave.
struct ServerCounts {
    std::uint32_t onDemand { 0 };
    std::uint32_t reclaimable { 0 };

    bool operator==(ServerCounts const&) const = default;
};

/// What was ordered, by service, data centre and kind, and how the platform answered.
struct OrderTable {
    struct Row {
        std::uint32_t desired { 0 };
        bool isAccepted { false };
        Core::MonotonicTime orderedAt;
        /// No further order before this time, after a refusal.
        Core::MonotonicTime backoffUntil;
        std::uint32_t refusals { 0 };
        /// Since when fewer servers would do.
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

/// The servers of a service by data centre.
[[nodiscard]] std::map<std::string, ServerCounts> countServers(std::vector<Routing::ListedServer> const&, std::string const& service);

/// How a service's servers are bought.
struct ScalingPolicy {
    /// Reclaimable servers in each data centre, as a part of the most that the platform allows there. The number stays the same: every
    /// change empties or fills caches, and they cost a part of the price.
    double reclaimableFraction { 0.67 };
    /// On-demand servers over all data centres that are kept in any case, so that some serve when all others are taken away.
    std::uint32_t minimumOnDemand { 1 };
    /// Requests in progress that one server is to run, and the part of its slots that this may be at most.
    double requestsPerServer { 18 };
    double maximumSlotFraction { 0.35 };

    bool operator==(ScalingPolicy const&) const = default;
};

/// The requests in progress of a service over all nodes. Every node keeps it, so that a new holder of the duty knows the demand.
struct ServiceDemand {
    /// Smoothed; follows growth faster than decline, since servers take seconds to start.
    double requestsInProgress { 0 };
    /// When the first request was seen.
    std::optional<Core::MonotonicTime> firstRequestAt;
    /// When the first servers were seen.
    std::optional<Core::MonotonicTime> firstServersAt;
    /// The most on-demand servers seen before there were requests.
    std::uint32_t initialOnDemand { 0 };

    bool operator==(ServiceDemand const&) const = default;
};

/// Takes in the present requests in progress and servers; called about twice a second.
void observeDemand(ServiceDemand&, std::uint32_t requestsInProgress, std::map<std::string, ServerCounts> const&, Core::MonotonicTime now);

/// The servers that the demand needs. Before there are requests, the servers that the deployment started with; nothing while
/// too little was seen to change the number of on-demand servers. Thread safe.
[[nodiscard]] std::optional<std::uint32_t> neededServers(Service const&, ServiceDemand const&, ScalingPolicy const&, Core::MonotonicTime now);

/// Decides the orders for a service. Reclaimable servers are bought in every data centre, since they cost a part of the price;
/// on-demand servers, in the cheapest data centres first, fill up what is needed if the data centre with the most reclaimable
/// servers lost all of them. On-demand servers go only once the others are registered and they were not needed for a while. Orders are absolute, so that repeating one
/// changes nothing. Answers reclaims of whole data centres, one after the other, while the platform has no new reclaimable servers.
[[nodiscard]] std::vector<ServerOrder> decideOrders(Service const&, std::map<std::string, ServerCounts> const&, ServiceDemand const&, OrderTable&, ScalingPolicy const&, Core::MonotonicTime now);

/// Records the platform's answer to an order.
void recordOrder(OrderTable&, ServerOrder const&, bool isAccepted, Core::MonotonicTime now);

}
