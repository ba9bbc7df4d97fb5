#include <LibCore/Random.h>
#include <LibFleet/FleetPlan.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <map>
#include <numeric>

using namespace std::chrono_literals;
using namespace Fleet;

namespace {

constexpr auto startTime = Core::MonotonicTime(1h);

Configuration::Place place(std::string const& dataCentre, std::vector<Configuration::MachineClass> classes)
{
    return { dataCentre, "region", std::move(classes) };
}

ServiceDemand demandOf(std::uint64_t demand, std::uint32_t maximumServers = 100)
{
    return { "advisor", demand, demand, 0, 50, 0, maximumServers, { "small", "large" }, ScaleDown::Allowed };
}

// Random zones, classes, prices and limits, small enough for an exhaustive search of all mixes.
struct RandomMarket {
    explicit RandomMarket(std::uint64_t seed)
    {
        Core::Random random(seed);
        auto const dataCentres = 1 + random.below(3);
        for (std::uint64_t number = 0; number < dataCentres; ++number) {
            auto& entry = inputs.places.emplace_back(place("dc" + std::to_string(number), {}));
            for (std::uint64_t zone = 0; zone <= random.below(2); ++zone) {
                for (auto const* name : { "small", "large" }) {
                    auto const capacity = std::string_view(name) == "small" ? 400 + random.below(400) : 1000 + random.below(1000);
                    auto const onDemand = capacity * (700 + random.below(600));
                    auto const reclaimable = onDemand * (25 + random.below(75)) / 100;
                    entry.machineClasses.push_back({ name, "z" + std::to_string(number) + std::to_string(zone), reclaimable, onDemand, capacity, static_cast<std::uint32_t>(random.below(3)) });
                }
            }
        }
        // The order in which a call's arguments are evaluated depends on the processor's architecture.
        auto const maximumServers = static_cast<std::uint32_t>(1 + random.below(8));
        inputs.services = { demandOf(500 + random.below(4000), maximumServers) };
        inputs.services[0].minimumServers = static_cast<std::uint32_t>(random.below(2));
        inputs.now = startTime;
        inputs.policy.hysteresis = 0;
        inputs.policy.maximumStarting = 100;
    }

    [[nodiscard]] std::vector<Offer> offers() const { return offersOf(inputs.places, inputs.services[0].machineClasses); }

    FleetInputs inputs;
};

// The capacity left after the loss of the largest zone, computed independently of the planner.
std::uint64_t afterZoneLoss(std::vector<Offer> const& hosts)
{
    std::map<std::string, std::uint64_t> zones;
    std::uint64_t total = 0;
    std::uint64_t largest = 0;
    for (auto const& host : hosts) {
        total += host.capacity;
        largest = std::max(largest, zones[host.pool.zone] += host.capacity);
    }
    return total - largest;
}

// The capacity left after the worst loss of all reclaimable hosts of a data centre.
std::uint64_t afterReclaim(std::vector<Offer> const& hosts)
{
    std::map<std::string, std::uint64_t> reclaimable;
    std::uint64_t total = 0;
    std::uint64_t largest = 0;
    for (auto const& host : hosts) {
        total += host.capacity;
        if (host.pool.purchase == Purchase::Reclaimable)
            largest = std::max(largest, reclaimable[host.pool.dataCentre] += host.capacity);
    }
    return total - largest;
}

/// The best values over all mixes of on-demand hosts.
struct OnDemandBounds {
    std::uint64_t maximumAfterLoss { 0 };
    /// Price of the cheapest sufficient mix.
    std::uint64_t price { std::numeric_limits<std::uint64_t>::max() };
};

// Enumerates all mixes of on-demand hosts within the maximum number of servers.
void enumerateMixes(std::vector<Offer> const& offers, std::size_t index, ServiceDemand const& service, std::vector<Offer>& chosen, OnDemandBounds& bounds)
{
    if (index == offers.size()) {
        auto const afterLoss = afterZoneLoss(chosen);
        bounds.maximumAfterLoss = std::max(bounds.maximumAfterLoss, afterLoss);
        if (afterLoss >= service.demand && chosen.size() >= service.minimumServers)
            bounds.price = std::min(bounds.price, std::accumulate(chosen.begin(), chosen.end(), std::uint64_t { 0 }, [](auto sum, auto const& host) { return sum + host.price; }));
        return;
    }
    enumerateMixes(offers, index + 1, service, chosen, bounds);
    if (offers[index].pool.purchase == Purchase::Reclaimable)
        return;
    std::uint32_t added = 0;
    for (; added < offers[index].available && chosen.size() < service.maximumServers; ++added) {
        chosen.push_back(offers[index]);
        enumerateMixes(offers, index + 1, service, chosen, bounds);
    }
    chosen.resize(chosen.size() - added);
}

// Applies a plan: started hosts run at once, drained hosts are removed. Returns whether anything changed.
bool applyPlan(FleetInputs& inputs, FleetPlan const& plan)
{
    static std::uint64_t number = 0;
    for (auto const& start : plan.starts)
        inputs.hosts.push_back({ "host" + std::to_string(++number), start.request.service, poolOf(start.request), HostPhase::Running, inputs.now });
    for (auto const& drain : plan.drains)
        std::erase_if(inputs.hosts, [&](auto const& host) { return host.id == drain.hostId; });
    return !plan.starts.empty() || !plan.drains.empty();
}

std::vector<Offer> hostOffers(FleetInputs const& inputs)
{
    std::vector<Offer> offers;
    for (auto const& host : inputs.hosts)
        offers.push_back(*offerFor(inputs.places, host.pool));
    return offers;
}

std::uint64_t totalPrice(std::vector<Offer> const& hosts)
{
    std::uint64_t price = 0;
    for (auto const& host : hosts)
        price += host.price;
    return price;
}

void expectWithinMaxima(FleetInputs const& inputs)
{
    EXPECT_LE(inputs.hosts.size(), inputs.services[0].maximumServers);
    for (auto const& entry : inputs.places) {
        for (auto const& machine : entry.machineClasses) {
            auto const count = std::count_if(inputs.hosts.begin(), inputs.hosts.end(), [&](auto const& host) { return host.pool.zone == machine.zone && host.pool.machineClass == machine.name; });
            EXPECT_LE(count, machine.maximumHosts) << machine.name << " in " << machine.zone;
        }
    }
}

FleetInputs threeZones(std::uint64_t demand)
{
    FleetInputs inputs;
    inputs.places = { place("dc1", { { "small", "z1", 300, 1000, 1000, 10 }, { "small", "z2", 400, 1000, 1000, 10 } }), place("dc2", { { "small", "z3", 500, 1000, 1000, 10 } }) };
    inputs.services = { demandOf(demand) };
    inputs.now = startTime;
    return inputs;
}

}

// Guards against plans that exceed the maxima, do not survive the loss of a zone although a sufficient plan exists, cost more
// than on-demand hosts alone, or are not stable.
TEST(FleetPlan, PropertiesHoldInRandomMarkets)
{
    unsigned sufficient = 0;
    for (std::uint64_t seed = 1; seed <= 300 && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomMarket market(seed);
        auto& inputs = market.inputs;
        auto const& service = inputs.services[0];
        std::vector<Offer> chosen;
        OnDemandBounds onDemand;
        enumerateMixes(market.offers(), 0, service, chosen, onDemand);
        bool const isPossible = onDemand.maximumAfterLoss >= service.demand;
        auto const plan = planFleet(inputs);
        applyPlan(inputs, plan);
        expectWithinMaxima(inputs);
        auto const hosts = hostOffers(inputs);
        bool const isSufficient = std::min(afterZoneLoss(hosts), afterReclaim(hosts)) >= service.demand && hosts.size() >= service.minimumServers;
        if (isPossible) {
            EXPECT_TRUE(isSufficient) << afterZoneLoss(hosts) << " of " << service.demand;
        }
        EXPECT_EQ(plan.shortages.empty(), isSufficient);
        if (!isSufficient)
            continue;
        ++sufficient;
        EXPECT_LE(totalPrice(hosts), onDemand.price);
        EXPECT_EQ(planFleet(inputs), FleetPlan {}) << "the plan changed although the inputs did not";
    }
    EXPECT_GT(sufficient, 100U);
}

// Guards against plans that never converge, and against fleets that do not survive the loss of a zone, after changes of demand
// and prices.
TEST(FleetPlan, ConvergesAfterEachChange)
{
    for (std::uint64_t seed = 1; seed <= 100 && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Core::Random random(seed);
        RandomMarket market(seed);
        auto& inputs = market.inputs;
        inputs.policy.hysteresis = 0.1;
        for (int change = 0; change < 10; ++change) {
            inputs.services[0].demand = inputs.services[0].recentPeak = 300 + random.below(4000);
            for (auto& entry : inputs.places) {
                for (auto& machine : entry.machineClasses)
                    machine.reclaimablePrice = machine.onDemandPrice * (25 + random.below(75)) / 100;
            }
            int rounds = 0;
            bool isChanging = true;
            bool hasShortage = false;
            while (isChanging && rounds++ < 40) {
                auto const plan = planFleet(inputs);
                hasShortage = !plan.shortages.empty();
                isChanging = applyPlan(inputs, plan);
                expectWithinMaxima(inputs);
            }
            EXPECT_LT(rounds, 40) << "change " << change;
            EXPECT_TRUE(hasShortage || std::min(afterZoneLoss(hostOffers(inputs)), afterReclaim(hostOffers(inputs))) >= inputs.services[0].demand);
        }
    }
}

// Guards against draining a host that the service still needs, and a cheap host before an expensive one.
TEST(FleetPlan, DrainsTheMostExpensiveUnneededHost)
{
    auto inputs = threeZones(2000);
    inputs.policy.hysteresis = 0;
    for (auto const& [id, zone] : { std::pair { "a", "z1" }, { "b", "z1" }, { "c", "z2" }, { "d", "z3" } })
        inputs.hosts.push_back({ id, "advisor", { std::string_view(zone) == "z3" ? "dc2" : "dc1", zone, "small", Purchase::OnDemand }, HostPhase::Running, startTime });
    // One host per zone serves 2 requests/s after a loss, so only one of the two in z1 can be drained, although z3 costs the same.
    inputs.policy.replacementSaving = 1;
    auto const first = planFleet(inputs);
    ASSERT_EQ(first.drains.size(), 1U);
    EXPECT_TRUE(first.drains[0].hostId == "a" || first.drains[0].hostId == "b") << first.drains[0].hostId;
    auto shrunk = inputs;
    applyPlan(shrunk, first);
    EXPECT_TRUE(planFleet(shrunk).drains.empty());
    inputs.services[0] = demandOf(900);
    inputs.hosts[2].pool.purchase = Purchase::Reclaimable;
    auto const plan = planFleet(inputs);
    ASSERT_FALSE(plan.drains.empty());
    EXPECT_NE(plan.drains[0].hostId, "c") << "the cheapest host is drained first";
    inputs.services[0].scaleDown = ScaleDown::Deferred;
    EXPECT_TRUE(planFleet(inputs).drains.empty());
}

// Guards against a lowered maximum being ignored while the demand is not met.
TEST(FleetPlan, MaximumIsEnforcedDuringShortage)
{
    auto inputs = threeZones(9000);
    inputs.services[0].maximumServers = 1;
    for (auto const* id : { "a", "b" })
        inputs.hosts.push_back({ id, "advisor", { "dc1", "z1", "small", Purchase::OnDemand }, HostPhase::Running, startTime });
    auto const plan = planFleet(inputs);
    EXPECT_EQ(plan.drains.size(), 1U);
    EXPECT_EQ(plan.shortages.size(), 1U);
    EXPECT_TRUE(plan.starts.empty());
}

// Guards against retrying a refused pool at once, and against never retrying it.
TEST(FleetPlan, RefusedPoolIsExcludedDuringBackoff)
{
    auto inputs = threeZones(1000);
    inputs.policy.maximumStarting = 100;
    auto const refusedPool = Pool { "dc1", "z1", "small", Purchase::Reclaimable };
    auto const startsInRefusedPool = [&] {
        auto const plan = planFleet(inputs);
        EXPECT_TRUE(plan.shortages.empty());
        return std::any_of(plan.starts.begin(), plan.starts.end(), [&](auto const& start) { return poolOf(start.request) == refusedPool; });
    };
    EXPECT_TRUE(startsInRefusedPool());
    inputs.refusals = { { refusedPool, inputs.now - 1s, 1 } };
    EXPECT_FALSE(startsInRefusedPool());
    auto const plan = planFleet(inputs);
    EXPECT_NE(plan.starts.at(0).reason.find("was refused 1 s ago"), std::string::npos) << plan.starts[0].reason;
    inputs.now += inputs.policy.refusalBackoff;
    EXPECT_TRUE(startsInRefusedPool());
    inputs.refusals[0].count = 3;
    EXPECT_FALSE(startsInRefusedPool());
}

// Guards against more concurrent loads than the weight store serves in the warm-up time, and against requesting a starting host
// again.
TEST(FleetPlan, StartsAreBounded)
{
    EXPECT_EQ(maximumConcurrentLoads(1'000'000, 10'000'000, 1s), 10U);
    EXPECT_EQ(maximumConcurrentLoads(1'000'000, 1, 1s), 1U);
    auto inputs = threeZones(6000);
    inputs.policy.maximumStarting = 2;
    auto const plan = planFleet(inputs);
    ASSERT_EQ(plan.starts.size(), 2U);
    for (auto const& start : plan.starts)
        inputs.hosts.push_back({ "started" + std::to_string(inputs.hosts.size()), "advisor", poolOf(start.request), HostPhase::Starting, inputs.now });
    EXPECT_TRUE(planFleet(inputs).starts.empty());
    for (auto& host : inputs.hosts)
        host.phase = HostPhase::Running;
    EXPECT_EQ(planFleet(inputs).starts.size(), 2U);
}

// Guards against starting hosts only once the demand has already grown.
TEST(FleetPlan, GrowthIsProjectedOverWarmUpTime)
{
    FleetPolicy policy;
    policy.warmUp = 60s;
    auto demand = demandOf(1000);
    demand.growth = 10;
    EXPECT_EQ(plannedDemand(demand, policy), 1600U);
    demand.recentPeak = 2000;
    EXPECT_EQ(plannedDemand(demand, policy), 2000U);
}
