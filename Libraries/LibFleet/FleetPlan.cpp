#include <LibFleet/FleetPlan.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace Fleet {

Platform::HostRequest hostRequest(Pool const& pool, std::string service)
{
    return { std::move(service), pool.dataCentre, pool.zone, pool.machineClass, pool.purchase == Purchase::Reclaimable };
}

Pool poolOf(Platform::HostRequest const& request)
{
    return { request.dataCentre, request.zone, request.machineClass, request.reclaimable ? Purchase::Reclaimable : Purchase::OnDemand };
}

Pool poolOf(Platform::Host const& host)
{
    return { host.dataCentre, host.zone, host.machineClass, host.reclaimable ? Purchase::Reclaimable : Purchase::OnDemand };
}

std::string describe(Pool const& pool)
{
    return (pool.purchase == Purchase::Reclaimable ? "reclaimable " : "on-demand ") + pool.machineClass + " in " + pool.zone;
}

static std::string decimal(double value)
{
    char buffer[40];
    std::snprintf(buffer, sizeof(buffer), "%.2f", value);
    return buffer;
}

static std::string priceText(std::uint64_t price)
{
    static constexpr double millionths = 1e6;
    return decimal(static_cast<double>(price) / millionths) + " per hour";
}

static std::string rateText(std::uint64_t rate)
{
    static constexpr double thousandths = 1e3;
    return decimal(static_cast<double>(rate) / thousandths) + " requests/s";
}

std::uint32_t maximumConcurrentLoads(std::uint64_t weightsBytes, std::uint64_t storeBytesPerSecond, Core::Duration warmUp)
{
    auto const seconds = std::chrono::duration<double>(warmUp).count();
    auto const loads = seconds * static_cast<double>(storeBytesPerSecond) / static_cast<double>(weightsBytes);
    return std::max(1U, static_cast<std::uint32_t>(std::min(loads, 1e6)));
}

std::vector<Offer> offersOf(std::vector<Configuration::Place> const& places, std::vector<std::string> const& machineClasses)
{
    std::vector<Offer> offers;
    for (auto const& place : places) {
        for (auto const& machine : place.machineClasses) {
            if (std::find(machineClasses.begin(), machineClasses.end(), machine.name) == machineClasses.end())
                continue;
            offers.push_back({ { place.dataCentre, machine.zone, machine.name, Purchase::Reclaimable }, machine.reclaimablePrice, machine.capacity, machine.maximumHosts });
            offers.push_back({ { place.dataCentre, machine.zone, machine.name, Purchase::OnDemand }, machine.onDemandPrice, machine.capacity, machine.maximumHosts });
        }
    }
    return offers;
}

std::optional<Offer> offerFor(std::vector<Configuration::Place> const& places, Pool const& pool)
{
    for (auto const& offer : offersOf(places, { pool.machineClass })) {
        if (offer.pool == pool)
            return offer;
    }
    return std::nullopt;
}

std::uint64_t plannedDemand(ServiceDemand const& service, FleetPolicy const& policy)
{
    auto const warmUp = std::chrono::duration<double>(policy.warmUp).count();
    auto const projected = service.demand + static_cast<std::uint64_t>(static_cast<double>(service.growth) * warmUp);
    return std::max({ service.demand, service.recentPeak, projected });
}

namespace {

bool isSameClass(Pool const& left, Pool const& right)
{
    return std::tie(left.dataCentre, left.zone, left.machineClass) == std::tie(right.dataCentre, right.zone, right.machineClass);
}

class Planner {
public:
    explicit Planner(FleetInputs const& inputs)
        : m_inputs(inputs)
    {
        for (auto const& host : inputs.hosts)
            m_occupied.push_back(host.pool);
        m_starting = static_cast<std::uint32_t>(std::count_if(inputs.hosts.begin(), inputs.hosts.end(), [](auto const& host) { return host.phase == HostPhase::Starting; }));
    }

    FleetPlan plan()
    {
        auto services = m_inputs.services;
        std::sort(services.begin(), services.end(), [](auto const& left, auto const& right) {
            return std::tuple(-static_cast<std::int64_t>(left.importance), left.service) < std::tuple(-static_cast<std::int64_t>(right.importance), right.service);
        });
        for (auto const& service : services)
            planService(service);
        return std::move(m_plan);
    }

private:
    enum class DrainCandidates {
        All,
        /// Only as many hosts as exceed the service's maximum.
        OverMaximum,
        /// Only hosts that are not part of the cheapest mix, while their replacements are started.
        Surplus,
    };

    struct ServiceHost {
        FleetHost const* host { nullptr };
        Offer offer;
    };

    /// The hosts of one service that are not leaving.
    struct ServiceHosts {
        std::vector<ServiceHost> running;
        /// Running hosts, and starting hosts that are not overdue.
        std::vector<Offer> expected;
        /// Overdue starts: they count towards the maxima but provide no capacity.
        std::uint32_t overdue { 0 };
        std::uint32_t starting { 0 };
    };

    [[nodiscard]] ServiceHosts serviceHosts(ServiceDemand const& service) const
    {
        static constexpr int overdueFactor = 3;
        ServiceHosts current;
        for (auto const& host : m_inputs.hosts) {
            if (host.service != service.service || host.phase == HostPhase::Leaving)
                continue;
            // The capacity of a host whose class is no longer offered is unknown and counted as 0.
            auto const offer = offerFor(m_inputs.places, host.pool).value_or(Offer { host.pool, 0, 0, 0 });
            bool const isStarting = host.phase == HostPhase::Starting;
            current.starting += isStarting ? 1 : 0;
            if (isStarting && m_inputs.now - host.startedAt > overdueFactor * m_inputs.policy.warmUp) {
                ++current.overdue;
                continue;
            }
            current.expected.push_back(offer);
            if (!isStarting)
                current.running.push_back({ &host, offer });
        }
        return current;
    }

    [[nodiscard]] StartRefusal const* activeRefusal(Pool const& pool) const
    {
        for (auto const& refusal : m_inputs.refusals) {
            if (refusal.pool != pool || refusal.count == 0)
                continue;
            static constexpr std::uint32_t maximumDoublings = 10;
            auto const backoff = std::min(m_inputs.policy.refusalBackoff * (1 << std::min(refusal.count - 1, maximumDoublings)), m_inputs.policy.maximumRefusalBackoff);
            if (m_inputs.now < refusal.lastAt + backoff)
                return &refusal;
        }
        return nullptr;
    }

    // Returns the offers that can still be started. Hosts in `released` count as available again, for planning the whole service anew.
    [[nodiscard]] std::vector<Offer> availableOffers(ServiceDemand const& service, std::vector<Offer> const& released) const
    {
        std::vector<Offer> available;
        for (auto offer : offersOf(m_inputs.places, service.machineClasses)) {
            auto const inClass = [&](Pool const& pool) { return isSameClass(pool, offer.pool); };
            auto const occupied = static_cast<std::uint32_t>(std::count_if(m_occupied.begin(), m_occupied.end(), inClass));
            auto const releasedInClass = static_cast<std::uint32_t>(std::count_if(released.begin(), released.end(), [&](Offer const& releasedOffer) { return inClass(releasedOffer.pool); }));
            auto const releasedInPool = static_cast<std::uint32_t>(std::count_if(released.begin(), released.end(), [&](Offer const& releasedOffer) { return releasedOffer.pool == offer.pool; }));
            offer.available = offer.available + releasedInClass > occupied ? offer.available + releasedInClass - occupied : 0;
            if (activeRefusal(offer.pool))
                offer.available = std::min(offer.available, releasedInPool);
            if (offer.available > 0)
                available.push_back(std::move(offer));
        }
        return available;
    }

    void planService(ServiceDemand const& service)
    {
        if (service.machineClasses.empty())
            return;
        auto const current = serviceHosts(service);
        auto const required = plannedDemand(service, m_inputs.policy);
        auto const requiredWithHysteresis = static_cast<std::uint64_t>(std::ceil(static_cast<double>(required) * (1 + m_inputs.policy.hysteresis)));
        auto const afterLoss = capacityAfterLoss(current.expected);
        auto const hosts = static_cast<std::uint32_t>(current.expected.size());
        if (afterLoss < required || hosts < service.minimumServers) {
            planAdditions(service, current, required, requiredWithHysteresis, afterLoss);
            drainHosts(service, current, {}, requiredWithHysteresis, DrainCandidates::OverMaximum);
            return;
        }
        MixRequest fullRequest { availableOffers(service, current.expected), {}, requiredWithHysteresis, service.minimumServers, service.maximumServers };
        auto const cheapestMix = cheapestAdditions(fullRequest);
        auto const candidates = cheapestMix.isSufficient && startCheaperReplacements(service, current, cheapestMix) ? DrainCandidates::Surplus : DrainCandidates::All;
        drainHosts(service, current, cheapestMix, requiredWithHysteresis, candidates);
    }

    void planAdditions(ServiceDemand const& service, ServiceHosts const& current, std::uint64_t required, std::uint64_t requiredWithHysteresis, std::uint64_t afterLoss)
    {
        auto const maximum = service.maximumServers > current.overdue ? service.maximumServers - current.overdue : 0;
        MixRequest request { availableOffers(service, {}), current.expected, requiredWithHysteresis, service.minimumServers, maximum };
        auto result = cheapestAdditions(request);
        if (!result.isSufficient) {
            request.required = required;
            result = cheapestAdditions(request);
        }
        auto const hosts = current.expected.size();
        auto const loss = worstLoss(current.expected);
        auto const demandText = hosts < service.minimumServers
            ? service.service + " has " + std::to_string(hosts) + " servers, minimum " + std::to_string(service.minimumServers)
            : service.service + " needs " + rateText(required) + " and would have " + rateText(afterLoss) + " after the loss of " + (loss.empty() ? "any host" : loss);
        if (!result.isSufficient) {
            auto const maximumText = "; the maximum available is " + rateText(result.capacityAfterLoss) + " with " + std::to_string(hosts + current.overdue) + " servers, maximum " + std::to_string(service.maximumServers);
            m_plan.shortages.push_back({ service.service, demandText + maximumText });
        }
        startHosts(service, request, result.added, demandText);
    }

    // Starts as many of the added hosts as the limit on concurrent starts allows, those that leave the most capacity after a loss first.
    void startHosts(ServiceDemand const& service, MixRequest const& request, Mix added, std::string const& demandText)
    {
        auto hosts = request.existing;
        while (!added.empty() && m_starting < m_inputs.policy.maximumStarting) {
            Offer const* best = nullptr;
            std::uint64_t bestAfterLoss = 0;
            for (auto const& offer : request.offers) {
                if (!added.contains(offer.pool))
                    continue;
                hosts.push_back(offer);
                auto const afterLoss = capacityAfterLoss(hosts);
                hosts.pop_back();
                if (!best || std::tuple(afterLoss, best->price) > std::tuple(bestAfterLoss, offer.price)) {
                    best = &offer;
                    bestAfterLoss = afterLoss;
                }
            }
            if (!best)
                return;
            hosts.push_back(*best);
            if (--added[best->pool] == 0)
                added.erase(best->pool);
            ++m_starting;
            m_occupied.push_back(best->pool);
            auto const reason = demandText + "; " + describe(best->pool) + " is part of the cheapest addition, at " + priceText(best->price) + cheaperRefusalText(service, *best);
            m_plan.starts.push_back({ hostRequest(best->pool, service.service), reason });
        }
    }

    [[nodiscard]] std::string cheaperRefusalText(ServiceDemand const& service, Offer const& chosen) const
    {
        for (auto const& offer : offersOf(m_inputs.places, service.machineClasses)) {
            auto const* refusal = activeRefusal(offer.pool);
            if (refusal && offer.price * chosen.capacity < chosen.price * offer.capacity) {
                auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(m_inputs.now - refusal->lastAt).count();
                return "; " + describe(offer.pool) + " is cheaper, but was refused " + std::to_string(seconds) + " s ago";
            }
        }
        return {};
    }

    // Starts the hosts of the cheapest mix that the service does not have yet. Returns whether the replacement is in progress. It only
    // begins if all of these hosts are available, since a partial replacement would be drained again.
    bool startCheaperReplacements(ServiceDemand const& service, ServiceHosts const& current, MixResult const& cheapestMix)
    {
        std::uint64_t price = 0;
        for (auto const& offer : current.expected)
            price += offer.price;
        auto const priceThreshold = static_cast<double>(price) * (1 - m_inputs.policy.replacementSaving);
        if (static_cast<double>(cheapestMix.price) >= priceThreshold || service.scaleDown == ScaleDown::Deferred)
            return false;
        auto added = cheapestMix.added;
        for (auto const& offer : current.expected) {
            auto const found = added.find(offer.pool);
            if (found != added.end() && --found->second == 0)
                added.erase(found);
        }
        MixRequest const request { availableOffers(service, {}), current.expected, 0, 0, service.maximumServers };
        std::uint32_t hosts = static_cast<std::uint32_t>(current.expected.size()) + current.overdue;
        for (auto const& entry : added) {
            auto const& pool = entry.first;
            hosts += entry.second;
            // Both purchase types of a class share its availability.
            std::uint32_t inClass = 0;
            for (auto const& [other, otherCount] : added)
                inClass += isSameClass(pool, other) ? otherCount : 0;
            auto const offer = std::find_if(request.offers.begin(), request.offers.end(), [&](auto const& candidate) { return candidate.pool == pool; });
            if (offer == request.offers.end() || offer->available < inClass)
                return false;
        }
        if (hosts > service.maximumServers)
            return false;
        startHosts(service, request, added, service.service + " costs " + priceText(price) + " and could cost " + priceText(cheapestMix.price));
        return true;
    }

    // Drains in this order: hosts that are not part of the cheapest mix, then by descending price per capacity, then by descending
    // capacity of the zone.
    void drainHosts(ServiceDemand const& service, ServiceHosts const& current, MixResult const& cheapestMix, std::uint64_t requiredWithHysteresis, DrainCandidates candidates)
    {
        bool const isOverMaximum = current.running.size() > service.maximumServers;
        if (!isOverMaximum && (service.scaleDown == ScaleDown::Deferred || current.starting > 0))
            return;
        auto remainingHosts = current.running;
        for (std::uint32_t drains = 0; drains < m_inputs.policy.maximumDrains; ++drains) {
            bool const exceedsMaximum = remainingHosts.size() > service.maximumServers;
            if (!exceedsMaximum && (candidates == DrainCandidates::OverMaximum || remainingHosts.size() <= service.minimumServers))
                return;
            auto const surplus = sortByDrainOrder(remainingHosts, cheapestMix);
            auto const last = candidates == DrainCandidates::Surplus && !exceedsMaximum ? remainingHosts.begin() + surplus : remainingHosts.end();
            auto const next = std::find_if(remainingHosts.begin(), last, [&](auto const& candidate) {
                return exceedsMaximum || afterLossWithout(remainingHosts, candidate) >= requiredWithHysteresis;
            });
            if (next == last)
                return;
            auto const remaining = afterLossWithout(remainingHosts, *next);
            auto const drainReason = exceedsMaximum ? service.service + " may have at most " + std::to_string(service.maximumServers) + " servers"
                                                    : service.service + " keeps " + rateText(remaining) + " after the worst loss without it and needs " + rateText(requiredWithHysteresis);
            m_plan.drains.push_back({ next->host->id, drainReason + "; " + describe(next->host->pool) + " costs " + priceText(next->offer.price) });
            remainingHosts.erase(next);
        }
    }

    [[nodiscard]] static std::uint64_t afterLossWithout(std::vector<ServiceHost> const& hosts, ServiceHost const& excluded)
    {
        std::vector<Offer> rest;
        for (auto const& entry : hosts) {
            if (entry.host != excluded.host)
                rest.push_back(entry.offer);
        }
        return capacityAfterLoss(rest);
    }

    // Returns the number of hosts that are not part of the cheapest mix; they come first.
    static std::ptrdiff_t sortByDrainOrder(std::vector<ServiceHost>& hosts, MixResult const& cheapestMix)
    {
        std::map<std::pair<std::string, std::string>, std::uint64_t> capacityByZone;
        for (auto const& entry : hosts)
            capacityByZone[{ entry.offer.pool.dataCentre, entry.offer.pool.zone }] += entry.offer.capacity;
        std::sort(hosts.begin(), hosts.end(), [&](auto const& left, auto const& right) { return left.host->id < right.host->id; });
        auto remainingInMix = cheapestMix.added;
        std::map<std::string, bool> isSurplus;
        for (auto const& entry : hosts) {
            auto& count = remainingInMix[entry.offer.pool];
            isSurplus[entry.host->id] = cheapestMix.isSufficient && count == 0;
            count -= count > 0 ? 1 : 0;
        }
        std::stable_sort(hosts.begin(), hosts.end(), [&](auto const& left, auto const& right) {
            if (isSurplus.at(left.host->id) != isSurplus.at(right.host->id))
                return isSurplus.at(left.host->id);
            auto const leftCost = left.offer.price * right.offer.capacity;
            auto const rightCost = right.offer.price * left.offer.capacity;
            if (leftCost != rightCost)
                return leftCost > rightCost;
            return capacityByZone.at({ left.offer.pool.dataCentre, left.offer.pool.zone }) > capacityByZone.at({ right.offer.pool.dataCentre, right.offer.pool.zone });
        });
        return std::count_if(hosts.begin(), hosts.end(), [&](auto const& entry) { return isSurplus.at(entry.host->id); });
    }

    FleetInputs const& m_inputs;
    FleetPlan m_plan;
    /// The pool of each existing or planned host. Leaving hosts count, since they still occupy their pool.
    std::vector<Pool> m_occupied;
    std::uint32_t m_starting { 0 };
};

}

FleetPlan planFleet(FleetInputs const& inputs)
{
    return Planner(inputs).plan();
}

}
