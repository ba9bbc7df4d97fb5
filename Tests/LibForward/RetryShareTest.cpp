#include <LibForward/RetryShare.h>
#include <LibLimits/RetryBudget.h>
#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <optional>

using namespace std::chrono_literals;

namespace {

// Of a deployment of seven nodes in four data centres with three seeds.
constexpr std::array<std::size_t, 4> nodesOfDataCentres { 2, 2, 2, 1 };
constexpr std::size_t seeds = 3;
constexpr Forward::RetryTolerance tolerance { .ratio = 0.2, .slack = 54, .window = 10s };
// Over all nodes.
constexpr double requestsPerSecond = 14;
constexpr double allowedRetries = tolerance.slack + tolerance.ratio * requestsPerSecond * 10;
constexpr Core::MonotonicTime start { 100s };

// What the nodes of one data centre hear of each other while it is cut off from the others, in direct reports.
enum class Visibility {
    DataCentre,
    ThisNodeOnly,
};

Forward::PeerTable peersOf(std::size_t dataCentre, Visibility visibility)
{
    Forward::PeerTable peers;
    for (std::size_t i = 0; i < seeds; ++i)
        peers.candidates[{ "10.0.0." + std::to_string(i + 1), 7600 }] = {};
    for (std::size_t i = 1; visibility == Visibility::DataCentre && i < nodesOfDataCentres.at(dataCentre); ++i)
        peers.rows["n" + std::to_string(i)].report.dataCentre = std::to_string(dataCentre);
    peers.knownNodes = 1 + peers.rows.size();
    return peers;
}

// Nodes that retry as often as their budgets allow, one attempt at each request, and start again every so often behind a partition. Returns the
// most retries of all nodes in a window.
std::size_t mostRetriesInAWindow(Visibility visibility, Core::Duration restartInterval)
{
    static constexpr Core::Duration step = 50ms;
    static constexpr Core::Duration length = 60s;
    struct Node {
        std::size_t dataCentre;
        Core::MonotonicTime startsAt;
        std::optional<Limits::RetryBudget> budget;
        double owedRequests { 0 };
    };
    std::vector<Node> nodes;
    for (std::size_t dataCentre = 0; dataCentre < nodesOfDataCentres.size(); ++dataCentre) {
        for (std::size_t i = 0; i < nodesOfDataCentres.at(dataCentre); ++i)
            nodes.push_back({ dataCentre, start, std::nullopt });
    }
    std::deque<Core::MonotonicTime> retries;
    std::size_t most = 0;
    for (auto now = start; now < start + length; now += step) {
        for (auto& node : nodes) {
            auto const share = Forward::retryShare(tolerance, Forward::assumedNodes(peersOf(node.dataCentre, visibility), std::to_string(node.dataCentre), nodesOfDataCentres.size()));
            if (now >= node.startsAt) {
                node.budget.emplace(share.perRequest, share.perSecond, share.capacity, Forward::initialRetryLevel(tolerance, false, 0s));
                node.startsAt += restartInterval;
            }
            node.owedRequests += requestsPerSecond / static_cast<double>(nodes.size()) * std::chrono::duration<double>(step).count();
            for (; node.owedRequests >= 1; node.owedRequests -= 1) {
                node.budget->recordRequest(now);
                while (node.budget->tryTake(now))
                    retries.push_back(now);
            }
        }
        while (!retries.empty() && now - retries.front() >= tolerance.window)
            retries.pop_front();
        most = std::max(most, retries.size());
    }
    return most;
}

}

// Guards against nodes that start behind a partition and each take the share of one of the few nodes that they hear (BUDGET).
TEST(RetryShareTest, NodesThatStartBehindAPartitionStayWithinTheTolerance)
{
    for (auto const visibility : { Visibility::DataCentre, Visibility::ThisNodeOnly })
        EXPECT_LE(mostRetriesInAWindow(visibility, 60s), allowedRetries);
}

// Guards against a full budget for each process of a node that starts again and again (BUDGET).
TEST(RetryShareTest, NodesThatStartAgainInSeriesStayWithinTheTolerance)
{
    for (auto const interval : { 1s, 2s, 4s })
        EXPECT_LE(mostRetriesInAWindow(Visibility::DataCentre, interval), allowedRetries);
}

// Guards against a service that is requested for the first time long after the start and could not retry.
TEST(RetryShareTest, OnlyAProcessThatMayHaveAPredecessorBeginsWithoutRetries)
{
    using InitialLevel = Limits::RetryBudget::InitialLevel;
    EXPECT_EQ(Forward::initialRetryLevel(tolerance, true, 0s), InitialLevel::Full);
    EXPECT_EQ(Forward::initialRetryLevel(tolerance, false, tolerance.window - 1ms), InitialLevel::Empty);
    EXPECT_EQ(Forward::initialRetryLevel(tolerance, false, tolerance.window), InitialLevel::Full);
}

// Guards against a share that shrinks without need: nodes that know each other divide by their number.
TEST(RetryShareTest, NodesThatKnowEachOtherDivideByTheirNumber)
{
    auto peers = peersOf(0, Visibility::DataCentre);
    EXPECT_EQ(Forward::assumedNodes(peers, "0", nodesOfDataCentres.size()), 8u);
    peers.knownNodes = 12;
    EXPECT_EQ(Forward::assumedNodes(peers, "0", nodesOfDataCentres.size()), 12u);
    auto const share = Forward::retryShare(tolerance, 12);
    EXPECT_LE(12 * (share.capacity + share.perSecond * 10), tolerance.slack);
    EXPECT_LT(share.perRequest, tolerance.ratio);
}
