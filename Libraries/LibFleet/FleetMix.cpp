#include <LibFleet/FleetMix.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace Fleet {

namespace {

constexpr std::uint64_t noLimit = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t noUnit = std::numeric_limits<std::size_t>::max();

/// An offer with the numbers of its zone, data centre and class.
struct Unit {
    Offer const* offer { nullptr };
    std::size_t zone { 0 };
    std::size_t dataCentre { 0 };
    std::size_t shelf { 0 };

    [[nodiscard]] bool isReclaimable() const { return offer->pool.purchase == Purchase::Reclaimable; }
};

/// Numbers names in the order in which they are first seen.
template <typename Name>
class Numbering {
public:
    std::size_t numberOf(Name const& name) { return m_numbers.try_emplace(name, m_numbers.size()).first->second; }
    [[nodiscard]] std::size_t size() const { return m_numbers.size(); }
    [[nodiscard]] std::map<Name, std::size_t> const& numbers() const { return m_numbers; }

private:
    std::map<Name, std::size_t> m_numbers;
};

using ZoneName = std::pair<std::string, std::string>;

struct Numberings {
    Numbering<ZoneName> zones;
    Numbering<std::string> dataCentres;
    Numbering<std::tuple<std::string, std::string, std::string>> shelves;

    Unit unitOf(Offer const& offer)
    {
        auto const& pool = offer.pool;
        return { &offer, zones.numberOf({ pool.dataCentre, pool.zone }), dataCentres.numberOf(pool.dataCentre), shelves.numberOf({ pool.dataCentre, pool.zone, pool.machineClass }) };
    }
};

/// The capacities that each loss would take.
struct Tally {
    std::vector<std::uint64_t> zones;
    std::vector<std::uint64_t> reclaimable;
    std::uint64_t total { 0 };

    void add(Unit const& unit)
    {
        total += unit.offer->capacity;
        zones[unit.zone] += unit.offer->capacity;
        if (unit.isReclaimable())
            reclaimable[unit.dataCentre] += unit.offer->capacity;
    }

    void remove(Unit const& unit)
    {
        total -= unit.offer->capacity;
        zones[unit.zone] -= unit.offer->capacity;
        if (unit.isReclaimable())
            reclaimable[unit.dataCentre] -= unit.offer->capacity;
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

Tally tallyOf(std::vector<Offer> const& hosts, Numberings& numberings)
{
    std::vector<Unit> units;
    units.reserve(hosts.size());
    for (auto const& host : hosts)
        units.push_back(numberings.unitOf(host));
    Tally tally { std::vector<std::uint64_t>(numberings.zones.size()), std::vector<std::uint64_t>(numberings.dataCentres.size()), 0 };
    for (auto const& unit : units)
        tally.add(unit);
    return tally;
}

enum class Order {
    CheapestCapacity,
    LargestHost,
};

enum class Choice {
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
                m_units.push_back(m_numberings.unitOf(offer));
        }
        m_base = tallyOf(request.existing, m_numberings);
        m_available.resize(m_numberings.shelves.size());
        for (auto const& unit : m_units)
            m_available[unit.shelf] = std::max(m_available[unit.shelf], unit.offer->available);
    }

    MixResult solve()
    {
        auto const limits = levels();
        for (auto const choice : { Choice::Any, Choice::OnDemandOnly }) {
            bool isReached = false;
            for (auto const order : { Order::CheapestCapacity, Order::LargestHost }) {
                for (auto const limit : limits)
                    isReached = tryFill(order, choice, limit) || isReached;
            }
            if (isReached)
                continue;
            // Only these levels make the largest-first fill exact, but there are as many as hosts.
            for (auto const limit : exactLevels())
                (void)tryFill(Order::LargestHost, choice, limit);
        }
        return *m_best;
    }

private:
    struct Fill {
        Tally tally;
        std::vector<std::uint32_t> counts;
        std::vector<std::uint32_t> available;
        std::uint32_t hosts { 0 };
    };

    [[nodiscard]] bool isSufficient(Fill const& fill) const
    {
        return fill.hosts >= m_request.minimumHosts && fill.tally.afterLoss() >= m_request.required;
    }

    // The most capacity that one loss may take: multiples of the hosts' sizes, and even divisions over 1 to 16 zones.
    [[nodiscard]] std::set<std::uint64_t> levels() const
    {
        static constexpr std::uint64_t mostZones = 16;
        static constexpr std::uint64_t mostMultiples = 24;
        std::set<std::uint64_t> result { noLimit };
        std::uint64_t largest = 0;
        for (auto const& unit : m_units)
            largest = std::max(largest, unit.offer->capacity);
        for (std::uint64_t zones = 1; zones <= mostZones; ++zones)
            result.insert(m_request.required / zones + largest);
        std::set<std::uint64_t> sizes;
        for (auto const& unit : m_units)
            sizes.insert(unit.offer->capacity);
        for (auto const size : sizes) {
            for (std::uint64_t multiple = 1; multiple <= mostMultiples && (multiple - 1) * size < m_request.required; ++multiple)
                result.insert(multiple * size);
        }
        return result;
    }

    [[nodiscard]] std::set<std::uint64_t> exactLevels() const
    {
        auto units = sorted(Order::LargestHost);
        auto zones = m_base.zones;
        auto available = m_available;
        std::set<std::uint64_t> result(zones.begin(), zones.end());
        for (auto const index : units) {
            auto const& unit = m_units[index];
            for (; available[unit.shelf] > 0; --available[unit.shelf])
                result.insert(zones[unit.zone] += unit.offer->capacity);
        }
        return result;
    }

    [[nodiscard]] std::vector<std::size_t> sorted(Order order) const
    {
        std::vector<std::size_t> indexes(m_units.size());
        for (std::size_t index = 0; index < indexes.size(); ++index)
            indexes[index] = index;
        std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            auto const& a = *m_units[left].offer;
            auto const& b = *m_units[right].offer;
            if (order == Order::CheapestCapacity && a.price * b.capacity != b.price * a.capacity)
                return a.price * b.capacity < b.price * a.capacity;
            if (a.capacity != b.capacity)
                return a.capacity > b.capacity;
            // A loss takes no more of the hosts bought on demand than of the others.
            if (order == Order::LargestHost && a.pool.purchase != b.pool.purchase)
                return a.pool.purchase == Purchase::OnDemand;
            return std::tie(a.price, a.pool) < std::tie(b.price, b.pool);
        });
        return indexes;
    }

    // Returns whether the fill is sufficient.
    bool tryFill(Order order, Choice choice, std::uint64_t limit)
    {
        Fill fill { m_base, std::vector<std::uint32_t>(m_units.size()), m_available, static_cast<std::uint32_t>(m_request.existing.size()) };
        auto const indexes = sorted(order);
        while (!isSufficient(fill) && fill.hosts < m_request.maximumHosts) {
            auto const next = std::find_if(indexes.begin(), indexes.end(), [&](std::size_t index) { return fits(fill, index, choice, limit); });
            if (next == indexes.end())
                break;
            add(fill, *next);
        }
        bool const isReached = isSufficient(fill);
        if (isReached)
            improve(fill, choice);
        keepIfBetter(fill);
        return isReached;
    }

    [[nodiscard]] bool fits(Fill const& fill, std::size_t index, Choice choice, std::uint64_t limit) const
    {
        auto const& unit = m_units[index];
        if (fill.available[unit.shelf] == 0 || fill.counts[index] >= unit.offer->available || (choice == Choice::OnDemandOnly && unit.isReclaimable()))
            return false;
        auto const capacity = unit.offer->capacity;
        if (fill.tally.zones[unit.zone] + capacity > limit)
            return false;
        return !unit.isReclaimable() || fill.tally.reclaimable[unit.dataCentre] + capacity <= limit;
    }

    void add(Fill& fill, std::size_t index) const
    {
        fill.tally.add(m_units[index]);
        ++fill.counts[index];
        --fill.available[m_units[index].shelf];
        ++fill.hosts;
    }

    void remove(Fill& fill, std::size_t index) const
    {
        fill.tally.remove(m_units[index]);
        --fill.counts[index];
        ++fill.available[m_units[index].shelf];
        --fill.hosts;
    }

    // Removes hosts that are not needed, then replaces single hosts by cheaper ones, as long as either helps.
    void improve(Fill& fill, Choice choice) const
    {
        while (improveOnce(fill, choice)) { }
    }

    // The best single step: a removal, or a replacement by a cheaper host.
    [[nodiscard]] bool improveOnce(Fill& fill, Choice choice) const
    {
        std::uint64_t bestSaving = 0;
        std::size_t bestRemoved = noUnit;
        std::size_t bestAdded = noUnit;
        for (std::size_t removed = 0; removed < m_units.size(); ++removed) {
            if (fill.counts[removed] == 0)
                continue;
            auto const price = m_units[removed].offer->price;
            remove(fill, removed);
            if (price > bestSaving && isSufficient(fill))
                std::tie(bestSaving, bestRemoved, bestAdded) = std::tuple(price, removed, noUnit);
            for (std::size_t added = 0; added < m_units.size(); ++added) {
                auto const& unit = m_units[added];
                if (unit.offer->price + bestSaving >= price || !fits(fill, added, choice, noLimit))
                    continue;
                add(fill, added);
                if (isSufficient(fill))
                    std::tie(bestSaving, bestRemoved, bestAdded) = std::tuple(price - unit.offer->price, removed, added);
                remove(fill, added);
            }
            add(fill, removed);
        }
        if (bestRemoved == noUnit)
            return false;
        remove(fill, bestRemoved);
        if (bestAdded != noUnit)
            add(fill, bestAdded);
        return true;
    }

    void keepIfBetter(Fill const& fill)
    {
        MixResult result;
        for (std::size_t index = 0; index < m_units.size(); ++index) {
            if (fill.counts[index] == 0)
                continue;
            result.added[m_units[index].offer->pool] += fill.counts[index];
            result.price += fill.counts[index] * m_units[index].offer->price;
        }
        result.capacityAfterLoss = fill.tally.afterLoss();
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
    Numberings m_numberings;
    std::vector<Unit> m_units;
    Tally m_base;
    std::vector<std::uint32_t> m_available;
    std::optional<MixResult> m_best;
};

}

std::uint64_t capacityAfterLoss(std::vector<Offer> const& hosts)
{
    Numberings numberings;
    return tallyOf(hosts, numberings).afterLoss();
}

std::string worstLoss(std::vector<Offer> const& hosts)
{
    Numberings numberings;
    auto const tally = tallyOf(hosts, numberings);
    std::uint64_t largest = 0;
    std::string name;
    for (auto const& [zone, number] : numberings.zones.numbers()) {
        if (tally.zones[number] > largest) {
            largest = tally.zones[number];
            name = "zone " + zone.second;
        }
    }
    for (auto const& [dataCentre, number] : numberings.dataCentres.numbers()) {
        if (tally.reclaimable[number] > largest) {
            largest = tally.reclaimable[number];
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
