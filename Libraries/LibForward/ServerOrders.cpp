#include <LibForward/ServerOrders.h>

#include <algorithm>

namespace Forward {

using namespace std::chrono_literals;

std::map<std::string, ServerStock> stockOf(std::vector<Routing::ListedServer> const& servers, std::string const& service)
{
    std::map<std::string, ServerStock> stock;
    for (auto const& server : servers) {
        if (server.service != service)
            continue;
        auto& row = stock[server.dataCentre];
        if (server.lifecycle == Routing::Lifecycle::Leaving)
            row.leaving += server.reclaimable ? 1 : 0;
        else if (server.reclaimable)
            ++row.reclaimable;
        else
            ++row.onDemand;
    }
    return stock;
}

static void addOrder(std::vector<ServerOrder>& orders, OrderBook const& book, ServerOrder order, std::uint32_t current, Core::MonotonicTime now)
{
    auto const found = book.rows.find({ order.service, order.dataCentre, order.reclaimable });
    if (found != book.rows.end()) {
        if (now < found->second.pausedUntil)
            return;
        if (found->second.isAccepted && found->second.desired == order.desired)
            return;
    } else if (order.desired == current) {
        return;
    }
    orders.push_back(std::move(order));
}

std::vector<ServerOrder> decideOrders(Service const& service, std::map<std::string, ServerStock> const& stock, OrderBook const& book, StockTargets const& targets, Core::MonotonicTime now)
{
    std::vector<ServerOrder> orders;
    if (!service.scale)
        return orders;
    auto const& range = *service.scale;
    for (auto const& [dataCentre, price] : range.prices) {
        auto const found = stock.find(dataCentre);
        auto const current = found == stock.end() ? ServerStock {} : found->second;
        bool const hasReclaimable = current.reclaimable >= targets.reclaimable;
        auto const onDemand = std::clamp(hasReclaimable ? targets.onDemand : targets.onDemandAlone, std::max(range.minimum, 1U), range.maximum);
        auto const reclaimable = std::min(targets.reclaimable, range.maximum - onDemand);
        addOrder(orders, book, { service.name, dataCentre, true, reclaimable }, current.reclaimable, now);
        addOrder(orders, book, { service.name, dataCentre, false, onDemand }, current.onDemand, now);
    }
    return orders;
}

void recordOrder(OrderBook& book, ServerOrder const& order, bool isAccepted, Core::MonotonicTime now)
{
    // A data centre whose hosts were taken away has none for ten seconds and more; each call is charged.
    static constexpr Core::Duration firstPause = 2s;
    static constexpr Core::Duration longestPause = 6s;
    auto& row = book.rows[{ order.service, order.dataCentre, order.reclaimable }];
    row.desired = order.desired;
    row.isAccepted = isAccepted;
    row.refusals = isAccepted ? 0 : row.refusals + 1;
    row.pausedUntil = isAccepted ? now : now + std::min(firstPause * row.refusals, longestPause);
}

}
