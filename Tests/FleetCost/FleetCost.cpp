// Runs the planner over simulated days of seeded random demand and compares its cost with two baselines. Only hosts are simulated,
// not requests.
//
// Usage: hyssopstep-fleet-cost DIRECTORY SERVICE [SEEDS [WAVES]], where DIRECTORY holds a desired state and WAVES is the
// number of reclaim waves per day.
#include <LibConfiguration/Loader.h>
#include <LibCore/Random.h>
#include <LibFleet/FleetPlan.h>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

using namespace std::chrono_literals;

namespace {

constexpr auto step = 30s;
constexpr int stepsPerDay = 24h / step;
constexpr auto drainTime = 60s;
constexpr auto peakWindow = 15min;
constexpr std::uint64_t defaultWaveCount = 3;
// Mean demand in thousandths of a request per second. The daily peak is about 1.6 times the mean, plus bursts.
constexpr double meanDemand = 4000;

/// All reclaimable hosts of a data centre are reclaimed at once, and starts are often refused there until the wave ends. `begin` and
/// `end` are step indexes.
struct ReclaimWave {
    int begin { 0 };
    int end { 0 };
    std::string dataCentre;
};

struct Day {
    std::vector<std::uint64_t> demand;
    std::vector<ReclaimWave> waves;
};

Day makeDay(Configuration::DesiredState const& desired, std::uint64_t seed, std::uint64_t waves)
{
    static constexpr double pi = 3.14159265358979;
    Core::Random random(seed);
    Day day;
    double noise = 0;
    int burstUntil = 0;
    for (int index = 0; index < stepsPerDay; ++index) {
        // A slow random drift of about 10 %, and about 6 bursts per day of 5 minutes that add 25 %.
        noise = 0.98 * noise + 0.02 * std::normal_distribution<double>(0, 0.7)(random.engine());
        if (random.unit() < 6.0 / stepsPerDay)
            burstUntil = index + 10;
        auto const dailyCurve = 1 - 0.6 * std::cos(2 * pi * index / stepsPerDay);
        auto const factor = dailyCurve * std::max(0.2, 1 + noise) * (index < burstUntil ? 1.25 : 1);
        day.demand.push_back(static_cast<std::uint64_t>(meanDemand * factor));
    }
    for (std::uint64_t wave = 0; wave < waves; ++wave) {
        auto const begin = static_cast<int>(random.below(stepsPerDay));
        auto const length = 40 + static_cast<int>(random.below(40));
        day.waves.push_back({ begin, begin + length, desired.places[random.below(desired.places.size())].dataCentre });
    }
    return day;
}

struct SimulatedHost {
    Fleet::FleetHost host;
    std::uint64_t price { 0 };
    std::uint64_t capacity { 0 };
    Core::MonotonicTime until { Core::MonotonicTime::max() };
};

struct SimulationResult {
    double cost { 0 };
    double fractionBelowDemand { 0 };
    double meanHosts { 0 };
    unsigned starts { 0 };
    unsigned refusals { 0 };
};

enum class AllowedPurchases {
    All,
    OnDemandOnly,
};

class Simulation {
public:
    Simulation(Configuration::DesiredState const& desired, Configuration::Service const& service, Day const& day, std::uint64_t seed)
        : m_desired(desired)
        , m_service(service)
        , m_day(day)
        , m_random(seed)
    {
    }

    SimulationResult simulatePlanner(AllowedPurchases purchases)
    {
        for (int index = 0; index < stepsPerDay; ++index) {
            m_now += step;
            applyReclaimWaves(index);
            updateHosts();
            // Several rounds in the first step build the fleet that the planner would have had from the day before.
            for (int round = 0; round < (index == 0 ? 20 : 1); ++round)
                plan(index, purchases);
            accumulate(index);
        }
        return m_result;
    }

    // The cheapest on-demand hosts that serve the day's peak after the loss of a zone, kept all day.
    SimulationResult simulateFixedFleet()
    {
        auto offers = Fleet::offersOf(m_desired.places, m_service.machineClasses);
        std::erase_if(offers, [](auto const& offer) { return offer.pool.purchase == Fleet::Purchase::Reclaimable; });
        auto const peak = *std::max_element(m_day.demand.begin(), m_day.demand.end());
        auto const mix = Fleet::cheapestAdditions({ offers, {}, peak, m_service.minimumServers, m_service.maximumServers });
        for (auto const& [pool, number] : mix.added) {
            for (std::uint32_t host = 0; host < number; ++host)
                addHost(pool, Fleet::HostPhase::Running);
        }
        for (int index = 0; index < stepsPerDay; ++index)
            accumulate(index);
        return m_result;
    }

private:
    void addHost(Fleet::Pool const& pool, Fleet::HostPhase phase)
    {
        auto const offer = *Fleet::offerFor(m_desired.places, pool);
        m_hosts.push_back({ { "host" + std::to_string(++m_number), m_service.name, pool, phase, m_now }, offer.price, offer.capacity });
    }

    [[nodiscard]] bool isInReclaimWave(int index, std::string const& dataCentre) const
    {
        return std::any_of(m_day.waves.begin(), m_day.waves.end(), [&](auto const& wave) { return index >= wave.begin && index < wave.end && wave.dataCentre == dataCentre; });
    }

    // The reclaim notice is shorter than a step, so the hosts are removed at once.
    void applyReclaimWaves(int index)
    {
        for (auto const& wave : m_day.waves) {
            if (wave.begin == index)
                std::erase_if(m_hosts, [&](auto const& host) { return host.host.pool.dataCentre == wave.dataCentre && host.host.pool.purchase == Fleet::Purchase::Reclaimable; });
        }
    }

    void updateHosts()
    {
        std::erase_if(m_hosts, [&](auto const& host) { return host.until <= m_now; });
        for (auto& host : m_hosts) {
            if (host.host.phase == Fleet::HostPhase::Starting && m_now - host.host.startedAt >= m_policy.warmUp)
                host.host.phase = Fleet::HostPhase::Running;
        }
    }

    [[nodiscard]] Fleet::ServiceDemand demandAt(int index) const
    {
        auto const demand = m_day.demand[static_cast<std::size_t>(index)];
        auto const first = std::max(0, index - static_cast<int>(peakWindow / step));
        auto const peak = *std::max_element(m_day.demand.begin() + first, m_day.demand.begin() + index + 1);
        auto const before = m_day.demand[static_cast<std::size_t>(std::max(0, index - 2))];
        auto const growth = demand > before ? (demand - before) / static_cast<std::uint64_t>(2 * step.count()) : 0;
        return { m_service.name, demand, peak, growth, m_service.importance, m_service.minimumServers, m_service.maximumServers, m_service.machineClasses, Fleet::ScaleDown::Allowed };
    }

    // In a reclaim wave, 95 % of the reclaimable and 33 % of the on-demand starts in its data centre are refused; otherwise 5 %.
    [[nodiscard]] bool isRefused(int index, Fleet::Pool const& pool)
    {
        auto const draw = m_random.unit();
        if (!isInReclaimWave(index, pool.dataCentre))
            return draw < 0.05;
        return draw < (pool.purchase == Fleet::Purchase::Reclaimable ? 0.95 : 0.33);
    }

    void plan(int index, AllowedPurchases purchases)
    {
        Fleet::FleetInputs inputs { { demandAt(index) }, m_desired.places, {}, m_refusals, m_now, m_policy };
        for (auto const& host : m_hosts)
            inputs.hosts.push_back(host.host);
        if (purchases == AllowedPurchases::OnDemandOnly) {
            for (auto const& offer : Fleet::offersOf(m_desired.places, m_service.machineClasses)) {
                if (offer.pool.purchase == Fleet::Purchase::Reclaimable)
                    inputs.refusals.push_back({ offer.pool, m_now, 1 });
            }
        }
        auto const plan = Fleet::planFleet(inputs);
        for (auto const& start : plan.starts) {
            auto const pool = Fleet::poolOf(start.request);
            if (isRefused(index, pool)) {
                ++m_result.refusals;
                auto const found = std::find_if(m_refusals.begin(), m_refusals.end(), [&](auto const& refusal) { return refusal.pool == pool; });
                if (found == m_refusals.end())
                    m_refusals.push_back({ pool, m_now, 1 });
                else
                    *found = { pool, m_now, found->count + 1 };
                continue;
            }
            ++m_result.starts;
            std::erase_if(m_refusals, [&](auto const& refusal) { return refusal.pool == pool; });
            addHost(pool, index == 0 ? Fleet::HostPhase::Running : Fleet::HostPhase::Starting);
        }
        for (auto const& drain : plan.drains) {
            auto const host = std::find_if(m_hosts.begin(), m_hosts.end(), [&](auto const& candidate) { return candidate.host.id == drain.hostId; });
            host->host.phase = Fleet::HostPhase::Leaving;
            host->until = m_now + drainTime;
        }
    }

    void accumulate(int index)
    {
        static constexpr double millionths = 1e6;
        auto const hours = std::chrono::duration<double, std::ratio<3600>>(step).count();
        std::uint64_t capacity = 0;
        for (auto const& host : m_hosts) {
            m_result.cost += static_cast<double>(host.price) / millionths * hours;
            capacity += host.host.phase == Fleet::HostPhase::Running ? host.capacity : 0;
        }
        m_result.meanHosts += static_cast<double>(m_hosts.size()) / stepsPerDay;
        m_result.fractionBelowDemand += capacity < m_day.demand[static_cast<std::size_t>(index)] ? 1.0 / stepsPerDay : 0;
    }

    Configuration::DesiredState const& m_desired;
    Configuration::Service const& m_service;
    Day const& m_day;
    Core::Random m_random;
    Fleet::FleetPolicy m_policy;
    Core::MonotonicTime m_now { 1h };
    std::vector<SimulatedHost> m_hosts;
    std::vector<Fleet::StartRefusal> m_refusals;
    std::uint64_t m_number { 0 };
    SimulationResult m_result;
};

void printRow(char const* name, std::uint64_t seed, SimulationResult const& result)
{
    std::printf("| %llu | %s | %.1f | %.3f %% | %.1f | %u | %u |\n", static_cast<unsigned long long>(seed), name, result.cost, 100 * result.fractionBelowDemand, result.meanHosts, result.starts, result.refusals);
}

void printMedianAndRange(char const* name, std::vector<SimulationResult> const& results)
{
    auto const medianAndRange = [&](auto field) {
        std::vector<double> values;
        values.reserve(results.size());
        for (auto const& result : results)
            values.push_back(field(result));
        std::sort(values.begin(), values.end());
        return std::array { values.front(), values[values.size() / 2], values.back() };
    };
    auto const cost = medianAndRange([](auto const& result) { return result.cost; });
    auto const belowDemand = medianAndRange([](auto const& result) { return 100 * result.fractionBelowDemand; });
    std::printf("| %s | %.1f (%.1f to %.1f) | %.3f %% (%.3f to %.3f) |\n", name, cost[1], cost[0], cost[2], belowDemand[1], belowDemand[0], belowDemand[2]);
}

}

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::fputs("usage: hyssopstep-fleet-cost DIRECTORY SERVICE [SEEDS [WAVES]]\n", stderr);
        return 2;
    }
    Configuration::ValidationErrors faults;
    auto const desired = Configuration::loadDirectory(argv[1], faults);
    auto const* service = desired ? Configuration::findService(*desired, argv[2]) : nullptr;
    if (!service) {
        std::fputs("cannot load the desired state from DIRECTORY, or it has no service SERVICE\n", stderr);
        return 1;
    }
    std::uint64_t const seeds = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 5;
    auto const waves = argc > 4 ? std::strtoull(argv[4], nullptr, 10) : defaultWaveCount;
    std::map<std::string, std::vector<SimulationResult>> results;
    std::printf("| seed | plan | cost a day | time below the demand | mean hosts | starts | refused |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto const day = makeDay(*desired, seed, waves);
        auto const run = [&](char const* name, SimulationResult const& result) {
            printRow(name, seed, result);
            results[name].push_back(result);
        };
        run("cheapest mix", Simulation(*desired, *service, day, seed).simulatePlanner(AllowedPurchases::All));
        run("on-demand only", Simulation(*desired, *service, day, seed).simulatePlanner(AllowedPurchases::OnDemandOnly));
        run("fixed for the peak", Simulation(*desired, *service, day, seed).simulateFixedFleet());
        std::fflush(stdout);
    }
    std::printf("\n| plan | cost a day, median (range) | time below the demand, median (range) |\n| --- | --- | --- |\n");
    for (auto const& [name, all] : results)
        printMedianAndRange(name.c_str(), all);
    return 0;
}
