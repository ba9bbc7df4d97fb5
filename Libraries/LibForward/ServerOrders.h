#pragma once

#include <LibCore/Runtime.h>
#include <LibForward/PlatformCodec.h>
#include <LibForward/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <vector>

namespace Forward {

/// What the holder of the duty knows of one service's servers in one data centre.
struct ServerStock {
    std::uint32_t onDemand { 0 };
    std::uint32_t reclaimable { 0 };
    /// Reclaimable servers that were told to leave.
    std::uint32_t leaving { 0 };

    bool operator==(ServerStock const&) const = default;
};

/// What was ordered, by service, data centre and kind, and how the platform answered.
struct OrderBook {
    struct Row {
        std::uint32_t desired { 0 };
        bool isAccepted { false };
        /// No further order before this time, after a refusal.
        Core::MonotonicTime pausedUntil;
        std::uint32_t refusals { 0 };

        bool operator==(Row const&) const = default;
    };
    struct Key {
        std::string service;
        std::string dataCentre;
        bool reclaimable { false };

        auto operator<=>(Key const&) const = default;
    };
    std::map<Key, Row> rows;

    bool operator==(OrderBook const&) const = default;
};

/// The servers of a service by data centre.
[[nodiscard]] std::map<std::string, ServerStock> stockOf(std::vector<Routing::ListedServer> const&, std::string const& service);

/// How many servers of each kind to keep in a data centre.
struct StockTargets {
    std::uint32_t onDemand { 1 };
    std::uint32_t reclaimable { 2 };
    /// On-demand servers while the data centre has no reclaimable ones.
    std::uint32_t onDemandAlone { 2 };

    bool operator==(StockTargets const&) const = default;
};

/// Decides the orders for a service: cheap reclaimable servers first, then fewer on-demand servers once the reclaimable ones
/// serve, and more on-demand servers where the reclaimable ones are taken away. Orders are absolute, so that repeating one
/// changes nothing. Answers reclaims of whole data centres, one after the other, while the platform refuses new servers.
[[nodiscard]] std::vector<ServerOrder> decideOrders(Service const&, std::map<std::string, ServerStock> const&, OrderBook const&, StockTargets const&, Core::MonotonicTime now);

/// Records the platform's answer to an order.
void recordOrder(OrderBook&, ServerOrder const&, bool isAccepted, Core::MonotonicTime now);

}
