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
    return decimal(static_cast<double>(price) / millionths) + " an hour";
}

static std::string rateText(std::uint64_t rate)
{
    static constexpr double thousandths = 1e3;
    return decimal(static_cast<double>(rate) / thousandths) + " requests/s";
}

std::uint32_t startsAtOnce(std::uint64_t weightsBytes, std::uint64_t storeBytesPerSecond, Core::Duration warmUp)
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
    auto const grown = service.demand + static_cast<std::uint64_t>(static_cast<double>(service.growth) * warmUp);
    return std::max({ service.demand, service.recentPeak, grown });
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
        /// Only as many hosts as are beyond the maximum of the service.
        OverMaximum,
        /// Only hosts that the cheapest mix does not have, while their replacements are bought.
        Surplus,
    };

    struct OwnHost {
        FleetHost const* host { nullptr };
        Offer offer;
    };

    /// The hosts of one service, in the phases that matter for it.
    struct OwnHosts {
        std::vector<OwnHost> running;
        /// Running ones, and starting ones that can still be expected.
        std::vector<Offer> expected;
        /// Starts that are overdue: they take up room but bring no capacity.
        std::uint32_t overdue { 0 };
        std::uint32_t starting { 0 };
    };

    [[nodiscard]] OwnHosts hostsOf(ServiceDemand const& service) const
    {
        static constexpr int patience = 3;
        OwnHosts own;
        for (auto const& host : m_inputs.hosts) {
            if (host.service != service.service || host.phase == HostPhase::Leaving)
                continue;
            // A host of a class that is no longer offered serves at an unknown rate, so it is planned without.
            auto const offer = offerFor(m_inputs.places, host.pool).value_or(Offer { host.pool, 0, 0, 0 });
            bool const isStarting = host.phase == HostPhase::Starting;
            own.starting += isStarting ? 1 : 0;
            if (isStarting && m_inputs.now - host.startedAt > patience * m_inputs.policy.warmUp) {
                ++own.overdue;
                continue;
            }
            own.expected.push_back(offer);
            if (!isStarting)
                own.running.push_back({ &host, offer });
        }
        return own;
    }

    [[nodiscard]] StartRefusal const* refusalOf(Pool const& pool) const
    {
        for (auto const& refusal : m_inputs.refusals) {
            if (refusal.pool != pool || refusal.count == 0)
                continue;
            static constexpr std::uint32_t mostDoublings = 10;
            auto const pause = std::min(m_inputs.policy.refusalPause * (1 << std::min(refusal.count - 1, mostDoublings)), m_inputs.policy.maximumRefusalPause);
            if (m_inputs.now < refusal.lastAt + pause)
                return &refusal;
        }
        return nullptr;
    }

    // What can still be bought. With the own hosts given back, it is what the service could consist of.
    [[nodiscard]] std::vector<Offer> openOffers(ServiceDemand const& service, std::vector<Offer> const& givenBack) const
    {
        std::vector<Offer> open;
        for (auto offer : offersOf(m_inputs.places, service.machineClasses)) {
            auto const inClass = [&](Pool const& pool) { return isSameClass(pool, offer.pool); };
            auto const occupied = static_cast<std::uint32_t>(std::count_if(m_occupied.begin(), m_occupied.end(), inClass));
            auto const returned = static_cast<std::uint32_t>(std::count_if(givenBack.begin(), givenBack.end(), [&](Offer const& own) { return inClass(own.pool); }));
            auto const inPool = static_cast<std::uint32_t>(std::count_if(givenBack.begin(), givenBack.end(), [&](Offer const& own) { return own.pool == offer.pool; }));
            offer.available = offer.available + returned > occupied ? offer.available + returned - occupied : 0;
            if (refusalOf(offer.pool))
                offer.available = std::min(offer.available, inPool);
            if (offer.available > 0)
                open.push_back(std::move(offer));
        }
        return open;
    }

    void planService(ServiceDemand const& service)
    {
        if (service.machineClasses.empty())
            return;
        auto const own = hostsOf(service);
        auto const required = plannedDemand(service, m_inputs.policy);
        auto const withReserve = static_cast<std::uint64_t>(std::ceil(static_cast<double>(required) * (1 + m_inputs.policy.hysteresis)));
        auto const afterLoss = capacityAfterLoss(own.expected);
        auto const hosts = static_cast<std::uint32_t>(own.expected.size());
        if (afterLoss < required || hosts < service.minimumServers) {
            buyAdditions(service, own, required, withReserve, afterLoss);
            drain(service, own, {}, withReserve, DrainCandidates::OverMaximum);
            return;
        }
        MixRequest whole { openOffers(service, own.expected), {}, withReserve, service.minimumServers, service.maximumServers };
        auto const ideal = cheapestAdditions(whole);
        auto const candidates = ideal.isSufficient && replaceByCheaper(service, own, ideal) ? DrainCandidates::Surplus : DrainCandidates::All;
        drain(service, own, ideal, withReserve, candidates);
    }

    void buyAdditions(ServiceDemand const& service, OwnHosts const& own, std::uint64_t required, std::uint64_t withReserve, std::uint64_t afterLoss)
    {
        auto const maximum = service.maximumServers > own.overdue ? service.maximumServers - own.overdue : 0;
        MixRequest request { openOffers(service, {}), own.expected, withReserve, service.minimumServers, maximum };
        auto result = cheapestAdditions(request);
        if (!result.isSufficient) {
            request.required = required;
            result = cheapestAdditions(request);
        }
        auto const hosts = own.expected.size();
        auto const loss = worstLoss(own.expected);
        auto const need = hosts < service.minimumServers
            ? service.service + " has " + std::to_string(hosts) + " servers of at least " + std::to_string(service.minimumServers)
            : service.service + " needs " + rateText(required) + " and would have " + rateText(afterLoss) + " after the loss of " + (loss.empty() ? "any host" : loss);
        if (!result.isSufficient) {
            auto const reached = "; the most that can be had is " + rateText(result.capacityAfterLoss) + " with " + std::to_string(hosts + own.overdue) + " servers of at most " + std::to_string(service.maximumServers);
            m_plan.shortages.push_back({ service.service, need + reached });
        }
        start(service, request, result.added, need);
    }

    // If not all can be started now, those that leave the most capacity after a loss come first.
    void start(ServiceDemand const& service, MixRequest const& request, Mix added, std::string const& need)
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
            auto const reason = need + "; " + describe(best->pool) + " is part of the cheapest addition, at " + priceText(best->price) + refusedCheaper(service, *best);
            m_plan.starts.push_back({ hostRequest(best->pool, service.service), reason });
        }
    }

    [[nodiscard]] std::string refusedCheaper(ServiceDemand const& service, Offer const& chosen) const
    {
        for (auto const& offer : offersOf(m_inputs.places, service.machineClasses)) {
            auto const* refusal = refusalOf(offer.pool);
            if (refusal && offer.price * chosen.capacity < chosen.price * offer.capacity) {
                auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(m_inputs.now - refusal->lastAt).count();
                return "; " + describe(offer.pool) + " is cheaper, but was refused " + std::to_string(seconds) + " s ago";
            }
        }
        return {};
    }

    // Buys what the cheapest mix has and the fleet has not. Returns whether the replacement goes on. It is begun only if all of
    // it can be had, since the parts would be drained again for want of the rest.
    bool replaceByCheaper(ServiceDemand const& service, OwnHosts const& own, MixResult const& ideal)
    {
        std::uint64_t price = 0;
        for (auto const& offer : own.expected)
            price += offer.price;
        auto const worthwhile = static_cast<double>(price) * (1 - m_inputs.policy.replacementSaving);
        if (static_cast<double>(ideal.price) >= worthwhile || service.scaleDown == ScaleDown::NotYet)
            return false;
        auto added = ideal.added;
        for (auto const& offer : own.expected) {
            auto const found = added.find(offer.pool);
            if (found != added.end() && --found->second == 0)
                added.erase(found);
        }
        MixRequest const request { openOffers(service, {}), own.expected, 0, 0, service.maximumServers };
        std::uint32_t hosts = static_cast<std::uint32_t>(own.expected.size()) + own.overdue;
        for (auto const& entry : added) {
            auto const& pool = entry.first;
            hosts += entry.second;
            // Both purchases of a class share its hosts.
            std::uint32_t inClass = 0;
            for (auto const& [other, otherCount] : added)
                inClass += isSameClass(pool, other) ? otherCount : 0;
            auto const offer = std::find_if(request.offers.begin(), request.offers.end(), [&](auto const& candidate) { return candidate.pool == pool; });
            if (offer == request.offers.end() || offer->available < inClass)
                return false;
        }
        if (hosts > service.maximumServers)
            return false;
        start(service, request, added, service.service + " costs " + priceText(price) + " and could cost " + priceText(ideal.price));
        return true;
    }

    // The most expensive first: hosts that the cheapest mix does not have, then by price for capacity, then those in the zone
    // that would lose the most.
    void drain(ServiceDemand const& service, OwnHosts const& own, MixResult const& ideal, std::uint64_t withReserve, DrainCandidates candidates)
    {
        bool const isOverMaximum = own.running.size() > service.maximumServers;
        if (!isOverMaximum && (service.scaleDown == ScaleDown::NotYet || own.starting > 0))
            return;
        auto kept = own.running;
        for (std::uint32_t drains = 0; drains < m_inputs.policy.maximumDrains; ++drains) {
            bool const mustShrink = kept.size() > service.maximumServers;
            if (!mustShrink && (candidates == DrainCandidates::OverMaximum || kept.size() <= service.minimumServers))
                return;
            auto const surplus = sortByDrainOrder(kept, ideal);
            auto const last = candidates == DrainCandidates::Surplus && !mustShrink ? kept.begin() + surplus : kept.end();
            auto const next = std::find_if(kept.begin(), last, [&](auto const& candidate) {
                return mustShrink || afterLossWithout(kept, candidate) >= withReserve;
            });
            if (next == last)
                return;
            auto const remaining = afterLossWithout(kept, *next);
            auto const why = mustShrink ? service.service + " may have at most " + std::to_string(service.maximumServers) + " servers"
                                        : service.service + " keeps " + rateText(remaining) + " after the worst loss without it and needs " + rateText(withReserve);
            m_plan.drains.push_back({ next->host->id, why + "; " + describe(next->host->pool) + " costs " + priceText(next->offer.price) });
            kept.erase(next);
        }
    }

    [[nodiscard]] static std::uint64_t afterLossWithout(std::vector<OwnHost> const& hosts, OwnHost const& left)
    {
        std::vector<Offer> rest;
        for (auto const& own : hosts) {
            if (own.host != left.host)
                rest.push_back(own.offer);
        }
        return capacityAfterLoss(rest);
    }

    // Returns the number of hosts that the cheapest mix does not have; they come first.
    static std::ptrdiff_t sortByDrainOrder(std::vector<OwnHost>& hosts, MixResult const& ideal)
    {
        std::map<std::pair<std::string, std::string>, std::uint64_t> exposure;
        for (auto const& own : hosts)
            exposure[{ own.offer.pool.dataCentre, own.offer.pool.zone }] += own.offer.capacity;
        std::sort(hosts.begin(), hosts.end(), [&](auto const& left, auto const& right) { return left.host->id < right.host->id; });
        auto wanted = ideal.added;
        std::map<std::string, bool> isSurplus;
        for (auto const& own : hosts) {
            auto& count = wanted[own.offer.pool];
            isSurplus[own.host->id] = ideal.isSufficient && count == 0;
            count -= count > 0 ? 1 : 0;
        }
        std::stable_sort(hosts.begin(), hosts.end(), [&](auto const& left, auto const& right) {
            if (isSurplus.at(left.host->id) != isSurplus.at(right.host->id))
                return isSurplus.at(left.host->id);
            auto const leftCost = left.offer.price * right.offer.capacity;
            auto const rightCost = right.offer.price * left.offer.capacity;
            if (leftCost != rightCost)
                return leftCost > rightCost;
            return exposure.at({ left.offer.pool.dataCentre, left.offer.pool.zone }) > exposure.at({ right.offer.pool.dataCentre, right.offer.pool.zone });
        });
        return std::count_if(hosts.begin(), hosts.end(), [&](auto const& own) { return isSurplus.at(own.host->id); });
    }

    FleetInputs const& m_inputs;
    FleetPlan m_plan;
    /// The pool of each host that exists or is planned; leaving hosts still take up room.
    std::vector<Pool> m_occupied;
    std::uint32_t m_starting { 0 };
};

}

FleetPlan planFleet(FleetInputs const& inputs)
{
    return Planner(inputs).plan();
}

}
