#include <LibForward/ServerOrders.h>

#include <algorithm>
#include <cmath>

namespace Forward {

using namespace std::chrono_literals;

std::map<std::string, ServerCounts> countServers(std::vector<Routing::ListedServer> const& servers, std::string const& service)
{
    std::map<std::string, ServerCounts> serverCounts;
    for (auto const& server : servers) {
        if (server.service != service)
            continue;
        auto& row = serverCounts[server.dataCentre];
        if (server.lifecycle == Routing::Lifecycle::Leaving)
            continue;
        if (server.reclaimable)
            ++row.reclaimable;
        else
            ++row.onDemand;
    }
    return serverCounts;
}

// An order is repeated if its servers are missing this long after their boot time: the platform reclaimed them or had none.
static constexpr Core::Duration bootMargin = 3s;

// Surplus on-demand servers are kept for this time, so that a short drop in demand removes none.
static constexpr Core::Duration surplusHoldTime = 1s;

static void addOrder(std::vector<ServerOrder>& orders, OrderTable& orderTable, ServerOrder order, std::uint32_t current, Core::Duration bootTime, Core::MonotonicTime now)
{
    auto const found = orderTable.rows.find({ order.service, order.dataCentre, order.reclaimable });
    if (found == orderTable.rows.end()) {
        if (order.desired != current)
            orders.push_back(std::move(order));
        return;
    }
    auto& row = found->second;
    bool const isSurplus = !order.reclaimable && row.isAccepted && order.desired < row.desired;
    if (!isSurplus)
        row.surplusSince.reset();
    else if (!row.surplusSince)
        row.surplusSince = now;
    if (now < row.backoffUntil || (isSurplus && now - *row.surplusSince < surplusHoldTime))
        return;
    bool const isMissing = current < order.desired && now - row.orderedAt > bootTime + bootMargin;
    if (row.isAccepted && row.desired == order.desired && !isMissing)
        return;
    orders.push_back(std::move(order));
}

void observeDemand(ServiceDemand& demand, std::uint32_t requestsInProgress, std::map<std::string, ServerCounts> const& serverCounts, Core::MonotonicTime now)
{
    static constexpr double growthWeight = 0.4;
    static constexpr double declineWeight = 0.1;
    std::uint32_t onDemand = 0;
    for (auto const& [dataCentre, row] : serverCounts)
        onDemand += row.onDemand;
    if (!demand.firstServersAt && !serverCounts.empty())
        demand.firstServersAt = now;
    if (!demand.firstRequestAt && requestsInProgress > 0) {
        demand.firstRequestAt = now;
        demand.requestsInProgress = requestsInProgress;
    }
    if (!demand.firstRequestAt)
        demand.initialOnDemand = std::max(demand.initialOnDemand, onDemand);
    bool const grows = requestsInProgress > demand.requestsInProgress;
    demand.requestsInProgress += (grows ? growthWeight : declineWeight) * (requestsInProgress - demand.requestsInProgress);
}

std::optional<std::uint32_t> neededServers(Service const& service, ServiceDemand const& demand, ScalingPolicy const& policy, Core::MonotonicTime now)
{
    // A process that has just started learns of servers and requests step by step.
    static constexpr Core::Duration serverDiscoveryTime = 2500ms;
    static constexpr Core::Duration demandObservationTime = 4s;
    if (!demand.firstServersAt || now - *demand.firstServersAt < serverDiscoveryTime)
        return std::nullopt;
    double const perServer = service.engine ? std::min(policy.requestsPerServer, std::max(policy.maximumSlotFraction * service.engine->slots, 1.0)) : policy.requestsPerServer;
    auto const byDemand = static_cast<std::uint32_t>(std::ceil(demand.requestsInProgress / perServer));
    if (demand.firstRequestAt && now - *demand.firstRequestAt >= demandObservationTime)
        return byDemand;
    // A process that started while requests were in progress cannot know the initial number of on-demand servers.
    bool const startedIdle = !demand.firstRequestAt || *demand.firstRequestAt - *demand.firstServersAt >= serverDiscoveryTime;
    if (!startedIdle)
        return std::nullopt;
    return std::max(byDemand, demand.initialOnDemand);
}

// Distributes a total of on-demand servers over the data centres: adds to those with the fewest, the cheapest first, and removes
// from those with the most, the most expensive first. Existing servers stay where possible, since a replacement serves nothing
// while it boots.
static std::map<std::string, std::uint32_t> spreadOnDemand(ScaleRange const& range, std::map<std::string, ServerCounts> const& serverCounts, std::uint32_t total)
{
    std::map<std::string, std::uint32_t> spread;
    std::uint32_t present = 0;
    for (auto const& [dataCentre, price] : range.prices) {
        auto const found = serverCounts.find(dataCentre);
        spread[dataCentre] = found == serverCounts.end() ? 0 : found->second.onDemand;
        present += spread[dataCentre];
    }
    auto const byCountAndPrice = [&](auto const& left, auto const& right) {
        return std::pair(left.second, range.prices.at(left.first)) < std::pair(right.second, range.prices.at(right.first));
    };
    total = std::min(total, range.maximum * static_cast<std::uint32_t>(spread.size()));
    for (; present < total; ++present)
        ++std::min_element(spread.begin(), spread.end(), byCountAndPrice)->second;
    for (; present > total; --present)
        --std::max_element(spread.begin(), spread.end(), byCountAndPrice)->second;
    return spread;
}

// Returns the number of reclaimable servers that remain if the data centre with the most of them loses all of its own.
static std::uint32_t survivingReclaimable(std::map<std::string, ServerCounts> const& serverCounts)
{
    std::uint32_t total = 0;
    std::uint32_t most = 0;
    for (auto const& [dataCentre, row] : serverCounts) {
        total += row.reclaimable;
        most = std::max(most, row.reclaimable);
    }
    return total - most;
}

std::vector<ServerOrder> decideOrders(Service const& service, std::map<std::string, ServerCounts> const& serverCounts, ServiceDemand const& demand, OrderTable& orderTable, ScalingPolicy const& policy, Core::MonotonicTime now)
{
    std::vector<ServerOrder> orders;
    if (!service.scale)
        return orders;
    auto const& range = *service.scale;
    auto const needed = neededServers(service, demand, policy, now);
    auto const surviving = survivingReclaimable(serverCounts);
    auto const total = std::max(policy.minimumOnDemand, needed.value_or(0) > surviving ? *needed - surviving : 0);
    auto const onDemand = spreadOnDemand(range, serverCounts, total);
    for (auto const& [dataCentre, desired] : onDemand) {
        auto const found = serverCounts.find(dataCentre);
        auto const current = found == serverCounts.end() ? ServerCounts {} : found->second;
        auto const desiredReclaimable = std::min(static_cast<std::uint32_t>(policy.reclaimableFraction * range.maximum), range.maximum - desired);
        // The minimum applies to both kinds together, and reclaimable servers count only once they are registered.
        auto const minimum = current.reclaimable >= range.minimum ? 0 : range.minimum;
        addOrder(orders, orderTable, { service.name, dataCentre, true, desiredReclaimable }, current.reclaimable, range.bootTime, now);
        if (needed)
            addOrder(orders, orderTable, { service.name, dataCentre, false, std::max(desired, minimum) }, current.onDemand, range.bootTime, now);
    }
    return orders;
}

void recordOrder(OrderTable& orderTable, ServerOrder const& order, bool isAccepted, Core::MonotonicTime now)
{
    // After a reclaim the platform has no hosts in that data centre for ten seconds or more, and each call is billed.
    static constexpr Core::Duration backoffStep = 2s;
    static constexpr Core::Duration maximumBackoff = 6s;
    auto& row = orderTable.rows[{ order.service, order.dataCentre, order.reclaimable }];
    row.desired = order.desired;
    row.isAccepted = isAccepted;
    row.orderedAt = now;
    row.refusals = isAccepted ? 0 : row.refusals + 1;
    row.backoffUntil = isAccepted ? now : now + std::min(backoffStep * row.refusals, maximumBackoff);
}

}
