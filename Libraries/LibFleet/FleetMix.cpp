#include <LibFleet/FleetMix.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace Fleet {

namespace {

constexpr std::uint64_t noLimit = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t noOffer = std::numeric_limits<std::size_t>::max();

/// An offer with the indexes of its zone, its data centre, and its machine class within the zone.
struct IndexedOffer {
    Offer const* offer { nullptr };
    std::size_t zone { 0 };
    std::size_t dataCentre { 0 };
    std::size_t zonalClass { 0 };

    [[nodiscard]] bool isReclaimable() const { return offer->pool.purchase == Purchase::Reclaimable; }
};

/// Assigns consecutive indexes to names in order of first use.
template <typename Name>
class IndexMap {
public:
    std::size_t indexOf(Name const& name) { return m_indexes.try_emplace(name, m_indexes.size()).first->second; }
    [[nodiscard]] std::size_t size() const { return m_indexes.size(); }
    [[nodiscard]] std::map<Name, std::size_t> const& indexes() const { return m_indexes; }

private:
    std::map<Name, std::size_t> m_indexes;
};

using ZoneKey = std::pair<std::string, std::string>;

struct OfferIndexes {
    IndexMap<ZoneKey> zones;
    IndexMap<std::string> dataCentres;
    IndexMap<std::tuple<std::string, std::string, std::string>> zonalClasses;

    IndexedOffer indexOffer(Offer const& offer)
    {
        auto const& pool = offer.pool;
        return { &offer, zones.indexOf({ pool.dataCentre, pool.zone }), dataCentres.indexOf(pool.dataCentre), zonalClasses.indexOf({ pool.dataCentre, pool.zone, pool.machineClass }) };
    }
};

/// The total capacity, and the part of it that each possible loss would remove.
struct CapacityTotals {
    std::vector<std::uint64_t> zones;
    std::vector<std::uint64_t> reclaimable;
    std::uint64_t total { 0 };

    void add(IndexedOffer const& entry)
    {
        total += entry.offer->capacity;
        zones[entry.zone] += entry.offer->capacity;
        if (entry.isReclaimable())
            reclaimable[entry.dataCentre] += entry.offer->capacity;
    }

    void remove(IndexedOffer const& entry)
    {
        total -= entry.offer->capacity;
        zones[entry.zone] -= entry.offer->capacity;
        if (entry.isReclaimable())
            reclaimable[entry.dataCentre] -= entry.offer->capacity;
    }

    [[nodiscard]] std::uint64_t afterLoss() const
    {
        std::uint64_t loss = 0;
        for (auto const capacity : zones)
            loss = std::max(loss, capacity);
        for (auto const capacity : reclaimable)
            loss = std::max(loss, capacity);
        return total - loss;
    }
};

CapacityTotals capacityTotals(std::vector<Offer> const& hosts, OfferIndexes& offerIndexes)
{
    std::vector<IndexedOffer> entries;
    entries.reserve(hosts.size());
    for (auto const& host : hosts)
        entries.push_back(offerIndexes.indexOffer(host));
    CapacityTotals totals { std::vector<std::uint64_t>(offerIndexes.zones.size()), std::vector<std::uint64_t>(offerIndexes.dataCentres.size()), 0 };
    for (auto const& entry : entries)
        totals.add(entry);
    return totals;
}

enum class FillOrder {
    CheapestCapacity,
    LargestHost,
};

enum class PurchaseFilter {
    Any,
    OnDemandOnly,
};

class Solver {
public:
    explicit Solver(MixRequest const& request)
        : m_request(request)
    {
        for (auto const& offer : request.offers) {
            if (offer.capacity > 0)
                m_offers.push_back(m_offerIndexes.indexOffer(offer));
        }
        m_existingTotals = capacityTotals(request.existing, m_offerIndexes);
        m_available.resize(m_offerIndexes.zonalClasses.size());
        for (auto const& entry : m_offers)
            m_available[entry.zonalClass] = std::max(m_available[entry.zonalClass], entry.offer->available);
    }

    MixResult solve()
    {
        auto const limits = lossLimits();
        for (auto const filter : { PurchaseFilter::Any, PurchaseFilter::OnDemandOnly }) {
            bool foundSufficient = false;
            for (auto const order : { FillOrder::CheapestCapacity, FillOrder::LargestHost }) {
                for (auto const limit : limits)
                    foundSufficient = tryFill(order, filter, limit) || foundSufficient;
            }
            if (foundSufficient)
                continue;
            // Only these limits make the largest-first fill exact, but there are as many as available hosts.
            for (auto const limit : exactLossLimits())
                (void)tryFill(FillOrder::LargestHost, filter, limit);
        }
        return *m_best;
    }

private:
    struct Fill {
        CapacityTotals totals;
        std::vector<std::uint32_t> counts;
        std::vector<std::uint32_t> available;
        std::uint32_t hosts { 0 };
    };

    [[nodiscard]] bool isSufficient(Fill const& fill) const
    {
        return fill.hosts >= m_request.minimumHosts && fill.totals.afterLoss() >= m_request.required;
    }

    // Candidate limits for the capacity that a single loss may remove: multiples of the host capacities, and an even distribution of
    // the required capacity over 1 to 16 zones plus one host.
    [[nodiscard]] std::set<std::uint64_t> lossLimits() const
    {
        static constexpr std::uint64_t maximumZones = 16;
        static constexpr std::uint64_t maximumMultiples = 24;
        std::set<std::uint64_t> result { noLimit };
        std::uint64_t largest = 0;
        for (auto const& entry : m_offers)
            largest = std::max(largest, entry.offer->capacity);
        for (std::uint64_t zones = 1; zones <= maximumZones; ++zones)
            result.insert(m_request.required / zones + largest);
        std::set<std::uint64_t> sizes;
        for (auto const& entry : m_offers)
            sizes.insert(entry.offer->capacity);
        for (auto const size : sizes) {
            for (std::uint64_t multiple = 1; multiple <= maximumMultiples && (multiple - 1) * size < m_request.required; ++multiple)
                result.insert(multiple * size);
        }
        return result;
    }

    [[nodiscard]] std::set<std::uint64_t> exactLossLimits() const
    {
        auto const indexes = sorted(FillOrder::LargestHost);
        auto zones = m_existingTotals.zones;
        auto available = m_available;
        std::set<std::uint64_t> result(zones.begin(), zones.end());
        for (auto const index : indexes) {
            auto const& entry = m_offers[index];
            for (; available[entry.zonalClass] > 0; --available[entry.zonalClass])
                result.insert(zones[entry.zone] += entry.offer->capacity);
        }
        return result;
    }

    [[nodiscard]] std::vector<std::size_t> sorted(FillOrder order) const
    {
        std::vector<std::size_t> indexes(m_offers.size());
        for (std::size_t index = 0; index < indexes.size(); ++index)
            indexes[index] = index;
        std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            auto const& a = *m_offers[left].offer;
            auto const& b = *m_offers[right].offer;
            if (order == FillOrder::CheapestCapacity && a.price * b.capacity != b.price * a.capacity)
                return a.price * b.capacity < b.price * a.capacity;
            if (a.capacity != b.capacity)
                return a.capacity > b.capacity;
            // An on-demand host is affected by zone losses only, a reclaimable one by reclaims too.
            if (order == FillOrder::LargestHost && a.pool.purchase != b.pool.purchase)
                return a.pool.purchase == Purchase::OnDemand;
            return std::tie(a.price, a.pool) < std::tie(b.price, b.pool);
        });
        return indexes;
    }

    // Fills greedily within the loss limit. Returns whether the fill is sufficient.
    bool tryFill(FillOrder order, PurchaseFilter filter, std::uint64_t limit)
    {
        Fill fill { m_existingTotals, std::vector<std::uint32_t>(m_offers.size()), m_available, static_cast<std::uint32_t>(m_request.existing.size()) };
        auto const indexes = sorted(order);
        while (!isSufficient(fill) && fill.hosts < m_request.maximumHosts) {
            auto const next = std::find_if(indexes.begin(), indexes.end(), [&](std::size_t index) { return fits(fill, index, filter, limit); });
            if (next == indexes.end())
                break;
            add(fill, *next);
        }
        bool const foundSufficient = isSufficient(fill);
        if (foundSufficient)
            improve(fill, filter);
        keepIfBetter(fill);
        return foundSufficient;
    }

    [[nodiscard]] bool fits(Fill const& fill, std::size_t index, PurchaseFilter filter, std::uint64_t limit) const
    {
        auto const& entry = m_offers[index];
        if (fill.available[entry.zonalClass] == 0 || fill.counts[index] >= entry.offer->available || (filter == PurchaseFilter::OnDemandOnly && entry.isReclaimable()))
            return false;
        auto const capacity = entry.offer->capacity;
        if (fill.totals.zones[entry.zone] + capacity > limit)
            return false;
        return !entry.isReclaimable() || fill.totals.reclaimable[entry.dataCentre] + capacity <= limit;
    }

    void add(Fill& fill, std::size_t index) const
    {
        fill.totals.add(m_offers[index]);
        ++fill.counts[index];
        --fill.available[m_offers[index].zonalClass];
        ++fill.hosts;
    }

    void remove(Fill& fill, std::size_t index) const
    {
        fill.totals.remove(m_offers[index]);
        --fill.counts[index];
        ++fill.available[m_offers[index].zonalClass];
        --fill.hosts;
    }

    // Removes hosts that are not needed and replaces single hosts by cheaper ones until neither lowers the price.
    void improve(Fill& fill, PurchaseFilter filter) const
    {
        while (improveOnce(fill, filter)) { }
    }

    // Applies the removal or replacement that saves the most. Returns false if there is none.
    [[nodiscard]] bool improveOnce(Fill& fill, PurchaseFilter filter) const
    {
        std::uint64_t bestSaving = 0;
        std::size_t bestRemoved = noOffer;
        std::size_t bestAdded = noOffer;
        for (std::size_t removed = 0; removed < m_offers.size(); ++removed) {
            if (fill.counts[removed] == 0)
                continue;
            auto const price = m_offers[removed].offer->price;
            remove(fill, removed);
            if (price > bestSaving && isSufficient(fill))
                std::tie(bestSaving, bestRemoved, bestAdded) = std::tuple(price, removed, noOffer);
            for (std::size_t added = 0; added < m_offers.size(); ++added) {
                auto const& entry = m_offers[added];
                if (entry.offer->price + bestSaving >= price || !fits(fill, added, filter, noLimit))
                    continue;
                add(fill, added);
                if (isSufficient(fill))
                    std::tie(bestSaving, bestRemoved, bestAdded) = std::tuple(price - entry.offer->price, removed, added);
                remove(fill, added);
            }
            add(fill, removed);
        }
        if (bestRemoved == noOffer)
            return false;
        remove(fill, bestRemoved);
        if (bestAdded != noOffer)
            add(fill, bestAdded);
        return true;
    }

    void keepIfBetter(Fill const& fill)
    {
        MixResult result;
        for (std::size_t index = 0; index < m_offers.size(); ++index) {
            if (fill.counts[index] == 0)
                continue;
            result.added[m_offers[index].offer->pool] += fill.counts[index];
            result.price += fill.counts[index] * m_offers[index].offer->price;
        }
        result.capacityAfterLoss = fill.totals.afterLoss();
        result.isSufficient = isSufficient(fill);
        if (m_best && m_best->isSufficient && !result.isSufficient)
            return;
        bool const isBetter = !m_best || (result.isSufficient && !m_best->isSufficient)
            || (result.isSufficient ? result.price < m_best->price
                                    : std::tuple(result.capacityAfterLoss, m_best->price) > std::tuple(m_best->capacityAfterLoss, result.price));
        if (isBetter)
            m_best = std::move(result);
    }

    MixRequest const& m_request;
    OfferIndexes m_offerIndexes;
    std::vector<IndexedOffer> m_offers;
    CapacityTotals m_existingTotals;
    std::vector<std::uint32_t> m_available;
    std::optional<MixResult> m_best;
};

}

std::uint64_t capacityAfterLoss(std::vector<Offer> const& hosts)
{
    OfferIndexes offerIndexes;
    return capacityTotals(hosts, offerIndexes).afterLoss();
}

std::string worstLoss(std::vector<Offer> const& hosts)
{
    OfferIndexes offerIndexes;
    auto const totals = capacityTotals(hosts, offerIndexes);
    std::uint64_t largest = 0;
    std::string name;
    for (auto const& [zone, index] : offerIndexes.zones.indexes()) {
        if (totals.zones[index] > largest) {
            largest = totals.zones[index];
            name = "zone " + zone.second;
        }
    }
    for (auto const& [dataCentre, index] : offerIndexes.dataCentres.indexes()) {
        if (totals.reclaimable[index] > largest) {
            largest = totals.reclaimable[index];
            name = "the reclaimable hosts of " + dataCentre;
        }
    }
    return name;
}

MixResult cheapestAdditions(MixRequest const& request)
{
    return Solver(request).solve();
}

}
