#include <LibForward/ServerOrders.h>

#include <algorithm>
#include <cmath>

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

// An order is repeated if its servers are missing after they should have started: the platform took them away again, or had none.
static constexpr Core::Duration startMargin = 3s;

static void addOrder(std::vector<ServerOrder>& orders, OrderBook const& book, ServerOrder order, std::uint32_t current, Core::Duration bootTime, Core::MonotonicTime now)
{
    auto const found = book.rows.find({ order.service, order.dataCentre, order.reclaimable });
    if (found == book.rows.end()) {
        if (order.desired != current)
            orders.push_back(std::move(order));
        return;
    }
    auto const& row = found->second;
    if (now < row.pausedUntil)
        return;
    bool const isMissing = current < order.desired && now - row.orderedAt > bootTime + startMargin;
    if (row.isAccepted && row.desired == order.desired && !isMissing)
        return;
    orders.push_back(std::move(order));
}

std::uint32_t neededServers(double requestsInProgress, StockPolicy const& policy)
{
    return static_cast<std::uint32_t>(std::ceil(requestsInProgress / policy.requestsPerServer));
}

// Spreads on-demand servers over the data centres, the cheapest first, one round after the other.
static std::map<std::string, std::uint32_t> spreadOnDemand(ScaleRange const& range, std::uint32_t total)
{
    std::vector<std::pair<double, std::string>> byPrice;
    std::map<std::string, std::uint32_t> spread;
    for (auto const& [dataCentre, price] : range.prices) {
        byPrice.emplace_back(price, dataCentre);
        spread[dataCentre] = 0;
    }
    std::sort(byPrice.begin(), byPrice.end());
    for (std::uint32_t round = 0; round < range.maximum; ++round) {
        for (auto const& [price, dataCentre] : byPrice) {
            if (total == 0)
                return spread;
            ++spread[dataCentre];
            --total;
        }
    }
    return spread;
}

std::vector<ServerOrder> decideOrders(Service const& service, std::map<std::string, ServerStock> const& stock, std::uint32_t needed, OrderBook const& book, StockPolicy const& policy, Core::MonotonicTime now)
{
    std::vector<ServerOrder> orders;
    if (!service.scale)
        return orders;
    auto const& range = *service.scale;
    std::uint32_t reclaimable = 0;
    std::uint32_t largest = 0;
    for (auto const& [dataCentre, row] : stock) {
        reclaimable += row.reclaimable;
        largest = std::max(largest, row.reclaimable);
    }
    auto const surviving = reclaimable - largest;
    auto const total = std::max(policy.leastOnDemand, needed > surviving ? needed - surviving : 0);
    auto const onDemand = spreadOnDemand(range, total);
    for (auto const& [dataCentre, wanted] : onDemand) {
        auto const found = stock.find(dataCentre);
        auto const current = found == stock.end() ? ServerStock {} : found->second;
        auto const wantedReclaimable = std::min(policy.reclaimablePerDataCentre, range.maximum - wanted);
        // The minimum holds for both kinds together, and reclaimable servers count only once they are there.
        auto const least = current.reclaimable >= range.minimum ? 0 : range.minimum;
        addOrder(orders, book, { service.name, dataCentre, true, wantedReclaimable }, current.reclaimable, range.bootTime, now);
        addOrder(orders, book, { service.name, dataCentre, false, std::max(wanted, least) }, current.onDemand, range.bootTime, now);
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
    row.orderedAt = now;
    row.refusals = isAccepted ? 0 : row.refusals + 1;
    row.pausedUntil = isAccepted ? now : now + std::min(firstPause * row.refusals, longestPause);
}

}
