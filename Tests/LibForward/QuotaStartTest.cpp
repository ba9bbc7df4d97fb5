#include <LibForward/ExchangeSimulation.h>
#include <cstdio>
#include <gtest/gtest.h>

using namespace ExchangeSimulations;

namespace {

// The team, the nodes and the data centres of the deployment on which it was admitted 11,336,681 tokens in eight seconds.
constexpr double teamRate = 1'091'300;
constexpr double allowed = (teamRate * 8 + teamRate) * 1.1 + 190'000;
constexpr double usual = 0.55 * teamRate;
constexpr std::size_t nodeCount = 90;
constexpr std::size_t centres = 4;
constexpr TeamTraffic::Profile largeRequests { .rate = teamRate, .leastCost = 1'500, .mostCost = 60'000 };

}

// Load pattern: a team sends six to eight times its usual traffic from the first requests on, after a common first start of the nodes (QUOTA,
// 11,336,681 of 10,994,078 tokens). What the nodes admit before they have heard each other, and before their first request of the team,
// must count.
TEST(QuotaStartTest, ATeamOverItsLimitAfterAFirstStartStaysWithinTheTolerance)
{
    for (auto const delay : { 0ms, 500ms, 4000ms }) {
        for (double const factor : { 6, 8 }) {
            for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                ExchangeSimulation simulation(nodeCount, 0.01, seed, centres, ExchangeSimulation::WallClock::Shared);
                simulation.run(delay);
                TeamTraffic traffic(simulation, largeRequests);
                traffic.run(usual, 20ms);
                traffic.run(factor * usual, 9s);
                std::printf("QuotaStartTest: over, %d ms after the start, %.0f times usual, seed %d: %.0f of %.0f\n", int(delay.count()), factor, int(seed), traffic.maximumAdmitted(), allowed);
                EXPECT_LE(traffic.maximumAdmitted(), allowed);
                EXPECT_GE(traffic.maximumAdmitted(), teamRate * 8 * 0.9);
            }
        }
    }
}

// The same when all nodes are killed and start again.
TEST(QuotaStartTest, ATeamOverItsLimitStaysWithinTheToleranceWhenAllNodesStartAgain)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        ExchangeSimulation simulation(nodeCount, 0.01, seed, centres, ExchangeSimulation::WallClock::Shared);
        simulation.run(4s);
        TeamTraffic traffic(simulation, largeRequests);
        traffic.run(8 * usual, 3s);
        for (std::size_t node = 0; node < nodeCount; ++node)
            simulation.restart(node);
        traffic.prepare();
        traffic.run(8 * usual, 8s);
        std::printf("QuotaStartTest: over, all start again, seed %d: %.0f of %.0f\n", int(seed), traffic.maximumAdmitted(), allowed);
        EXPECT_LE(traffic.maximumAdmitted(), allowed);
    }
}

namespace {

struct WithinLimit {
    double unevenFraction;
    double demand;
};

}

// A team within its limit, nine tenths of whose requests may reach a twentieth of the nodes, must not be refused more than before the
// admissions of the first seconds counted. The bounds are the requests that were refused then.
TEST(QuotaStartTest, ATeamWithinItsLimitIsNotRefusedMoreAfterAFirstStart)
{
    static constexpr std::size_t refusedBefore = 15;
    std::size_t refused = 0;
    for (auto const& [unevenFraction, demand] : { WithinLimit { 0, 0.55 }, WithinLimit { 0, 0.95 }, WithinLimit { 0.5, 0.95 }, WithinLimit { 0.9, 0.55 }, WithinLimit { 0.9, 0.95 } }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ExchangeSimulation simulation(nodeCount, 0.01, seed, centres, ExchangeSimulation::WallClock::Shared);
            auto profile = largeRequests;
            profile.unevenFraction = unevenFraction;
            TeamTraffic traffic(simulation, profile);
            traffic.run(demand * teamRate, 10s);
            refused += traffic.refused();
        }
        std::printf("QuotaStartTest: within, first start, uneven %.1f, demand %.2f: %zu refused so far\n", unevenFraction, demand, refused);
    }
    EXPECT_LE(refused, refusedBefore);
}

// The same when all nodes are killed and start again. Most are refused before the nodes have heard each other, when each admits its share.
TEST(QuotaStartTest, ATeamWithinItsLimitIsNotRefusedMoreWhenAllNodesStartAgain)
{
    static constexpr std::size_t refusedBefore = 79;
    std::size_t refused = 0;
    for (auto const& [unevenFraction, demand] : { WithinLimit { 0, 0.55 }, WithinLimit { 0.9, 0.55 }, WithinLimit { 0.9, 0.8 } }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            ExchangeSimulation simulation(nodeCount, 0.01, seed, centres, ExchangeSimulation::WallClock::Shared);
            simulation.run(4s);
            auto profile = largeRequests;
            profile.unevenFraction = unevenFraction;
            TeamTraffic traffic(simulation, profile);
            traffic.run(demand * teamRate, 2s);
            for (std::size_t node = 0; node < nodeCount; ++node)
                simulation.restart(node);
            traffic.prepare();
            traffic.run(demand * teamRate, 6s);
            refused += traffic.refused();
        }
        std::printf("QuotaStartTest: within, all start again, uneven %.1f, demand %.2f: %zu refused so far\n", unevenFraction, demand, refused);
    }
    EXPECT_LE(refused, refusedBefore);
}

// Load pattern: a team sends six times its usual traffic while the node whose sums a data centre uses is killed. Guards against the time without
// sums counting as unused quota at the nodes of that data centre, until they use other sums (11,688,362 of 10,994,078 tokens).
TEST(QuotaStartTest, ATeamOverItsLimitStaysWithinTheToleranceWhenAnAggregatingNodeIsKilled)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ExchangeSimulation simulation(nodeCount, 0.01, seed, centres, ExchangeSimulation::WallClock::Shared);
        simulation.run(4s);
        TeamTraffic traffic(simulation, largeRequests);
        traffic.run(6 * usual, 6s);
        auto const aggregator = simulation.nodes().back().table.aggregator;
        ASSERT_FALSE(aggregator.empty());
        for (auto& node : simulation.nodes()) {
            if (node.report.node == aggregator)
                node.isUp = false;
        }
        traffic.run(6 * usual, 4s);
        std::printf("QuotaStartTest: an aggregating node is killed, seed %d: %.0f of %.0f\n", int(seed), traffic.maximumAdmitted(), allowed);
        EXPECT_LE(traffic.maximumAdmitted(), allowed);
    }
}
