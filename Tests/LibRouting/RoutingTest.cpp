#include <LibRouting/LengthEstimator.h>
#include <LibRouting/ServerChoice.h>
#include <gtest/gtest.h>
#include <map>

using namespace std::chrono_literals;

namespace {

class RoutingTest : public testing::Test {
protected:
    void addServers(int count)
    {
        std::vector<Routing::ListedServer> listed;
        listed.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            listed.push_back({ "s" + std::to_string(index), { "127.0.0.1", 1 }, "advisor", "v1", "dc1", "zone-a", 1, Routing::Lifecycle::Live });
        Routing::mergeHostList(m_table, listed, m_now);
    }

    std::string choose(Routing::RoutingRequest const& request)
    {
        auto const choice = Routing::chooseServer(m_table, m_prefixes, request, m_now, m_random, m_error);
        return choice ? choice->serverId : "";
    }

    Routing::RoutingRequest request() const
    {
        Routing::RoutingRequest request;
        request.service = "advisor";
        request.dataCentre = "dc1";
        request.promptTokens = 64;
        request.expectedTokens = 100;
        return request;
    }

    Routing::ServerTable m_table;
    Routing::PrefixIndex m_prefixes { 1000 };
    Core::MonotonicTime m_now { 100s };
    Core::Random m_random { 7 };
    Core::Error m_error;
};

}

// Guards against new requests for a leaving server that a stale host list still shows as live.
TEST_F(RoutingTest, LeavingIsOneWayWithinAnIncarnation)
{
    addServers(1);
    EXPECT_TRUE(Routing::markLeaving(m_table, "s0", 1));
    m_now += 1s;
    addServers(1);
    EXPECT_EQ(choose(request()), "");
    EXPECT_EQ(m_error.kind, Core::ErrorKind::NoServerAvailable);
    EXPECT_EQ(m_error.runState, Core::RunState::NotRun);
    std::vector<Routing::ListedServer> const restarted { { "s0", { "127.0.0.1", 1 }, "advisor", "v1", "dc1", "zone-a", 2, Routing::Lifecycle::Live } };
    Routing::mergeHostList(m_table, restarted, m_now);
    EXPECT_EQ(choose(request()), "s0");
}

// Guards against a running server that gets no requests any more: its entry was missing while it had a request in progress, as after the
// store was restored from a copy.
TEST_F(RoutingTest, ServerWhoseEntryReturnsIsUsedAgain)
{
    Routing::ListedServer server { "s0", { "127.0.0.1", 1 }, "advisor", "v1", "dc1", "zone-a", 5, Routing::Lifecycle::Live, 1, false, { 1, 10 } };
    Routing::mergeHostList(m_table, { server }, m_now);
    m_table.rows.at(0).outstanding = 1;
    auto const chosenAfterItsEntryReturns = [&](Routing::Lifecycle lifecycle) {
        m_now += 1s;
        Routing::mergeHostList(m_table, {}, m_now);
        EXPECT_EQ(choose(request()), "");
        server.lifecycle = lifecycle;
        m_now += 1s;
        Routing::mergeHostList(m_table, { server }, m_now);
        return choose(request());
    };
    EXPECT_EQ(chosenAfterItsEntryReturns(Routing::Lifecycle::Live), "s0");
    EXPECT_EQ(chosenAfterItsEntryReturns(Routing::Lifecycle::Leaving), "");
    // It has announced its leaving before.
    EXPECT_EQ(chosenAfterItsEntryReturns(Routing::Lifecycle::Live), "");
}

// Guards against requests for the address of an entry with a start time in the far future, which no later entry replaced.
TEST_F(RoutingTest, LaterEntryReplacesOneWithALaterStartTime)
{
    Routing::ListedServer server { "s0", { "127.0.0.1", 1 }, "advisor", "v1", "dc1", "zone-a", 5, Routing::Lifecycle::Live, 1, false, { 0, 10 } };
    auto const merge = [&](std::uint64_t incarnation, std::uint16_t port, std::uint64_t revision) {
        server.incarnation = incarnation;
        server.endpoint.port = port;
        server.revision.number = revision;
        Routing::mergeHostList(m_table, { server }, m_now);
        return m_table.rows.at(0).endpoint.port;
    };
    EXPECT_EQ(merge(5, 1, 10), 1);
    EXPECT_EQ(merge(UINT64_MAX, 2, 11), 2);
    EXPECT_EQ(merge(5, 1, 10), 2);
    EXPECT_EQ(merge(5, 1, 12), 1);
    server.lifecycle = Routing::Lifecycle::Leaving;
    EXPECT_EQ(merge(5, 1, 13), 1);
    EXPECT_EQ(choose(request()), "");
}

// Guards against all nodes choosing the same idle server at once.
TEST_F(RoutingTest, LoadIsSpreadOverEqualServers)
{
    addServers(10);
    std::map<std::string, int> counts;
    for (int round = 0; round < 1000; ++round)
        ++counts[choose(request())];
    ASSERT_EQ(counts.size(), 10u);
    for (auto const& [id, count] : counts)
        EXPECT_LT(count, 200) << id;
}

// Guards against recomputing a prompt that a server has cached, and against overloading that server for it.
TEST_F(RoutingTest, CachedPrefixIsPreferredUntilTheServerIsFull)
{
    addServers(10);
    auto prefixed = request();
    prefixed.promptTokens = 640;
    std::vector<std::string> const tokens(640, "t");
    prefixed.prefixHashes = Routing::prefixHashes(tokens);
    for (auto const hash : prefixed.prefixHashes)
        m_prefixes.recordStored("s3", hash);
    EXPECT_EQ(choose(prefixed), "s3");
    Routing::findServer(m_table, "s3")->outstanding = 64;
    EXPECT_NE(choose(prefixed), "s3");
}

// Guards against regular requests for a straggler whose load report shows no problem, and against never using it again.
TEST_F(RoutingTest, StragglerGetsProbesUntilItRecovers)
{
    addServers(6);
    auto recordServiceTimes = [&](double straggler) {
        for (auto& row : m_table.rows) {
            for (int sample = 0; sample < 30; ++sample)
                Routing::recordServiceTime(row, row.id == "s0" ? straggler : 0.02, m_now);
        }
        Routing::updateStragglerStates(m_table, m_now);
    };
    recordServiceTimes(0.2);
    auto probe = request();
    probe.expectedTokens = 10;
    for (int round = 0; round < 100; ++round)
        EXPECT_NE(choose(probe), "s0");
    m_now += 1100ms;
    EXPECT_EQ(choose(probe), "s0");
    EXPECT_NE(choose(probe), "s0");
    recordServiceTimes(0.02);
    EXPECT_EQ(Routing::findServer(m_table, "s0")->stragglerState, Routing::StragglerState::Normal);
}

// Guards against nodes that choose different servers for the same prefix, and against a single server for a popular prefix.
TEST_F(RoutingTest, NodesAgreeOnTheHomesOfAPrefix)
{
    addServers(10);
    auto prefixed = request();
    prefixed.promptTokens = 640;
    prefixed.prefixHashes = Routing::prefixHashes(std::vector<std::string>(640, "t"));
    std::map<std::string, int> counts;
    for (std::uint64_t node = 0; node < 200; ++node) {
        Core::Random random { node };
        ++counts[Routing::chooseServer(m_table, m_prefixes, prefixed, m_now, random, m_error)->serverId];
    }
    EXPECT_EQ(counts.size(), 2u);
    for (auto const& [id, count] : counts)
        Routing::findServer(m_table, id)->outstanding = 64;
    EXPECT_FALSE(counts.contains(choose(prefixed)));
}

// Guards against ordinary requests that wait while the prompt of a long one is prefilled.
TEST_F(RoutingTest, LongAndOrdinaryRequestsUseDifferentServers)
{
    addServers(10);
    Routing::WorkMix mix;
    EXPECT_EQ(Routing::recordWork(mix, 2.0, m_now), Routing::WorkLength::Ordinary);
    for (int round = 0; round < 300; ++round) {
        m_now += 100ms;
        auto const seconds = round % 10 == 0 ? 2.0 : 0.1;
        EXPECT_EQ(Routing::recordWork(mix, seconds, m_now) == Routing::WorkLength::Long, seconds > 1 && round >= 10) << round;
    }
    std::map<std::string, int> longCounts;
    std::map<std::string, int> counts;
    for (int round = 0; round < 200; ++round) {
        auto ordinary = request();
        ordinary.longShare = Routing::longShare(mix);
        auto report = ordinary;
        report.length = Routing::WorkLength::Long;
        ++counts[choose(ordinary)];
        ++longCounts[choose(report)];
    }
    EXPECT_EQ(longCounts.size() + counts.size(), 10u);
    EXPECT_NEAR(static_cast<double>(longCounts.size()), 7, 1);
    for (auto const& [id, count] : counts)
        EXPECT_FALSE(longCounts.contains(id)) << id;
    for (auto const& [id, count] : counts)
        Routing::findServer(m_table, id)->outstanding = 64;
    auto overflow = request();
    overflow.longShare = Routing::longShare(mix);
    EXPECT_TRUE(longCounts.contains(choose(overflow)));
}

// Guards against counting queueing time as prefill time.
TEST_F(RoutingTest, PrefillCostIsLearnedFromTheShortestDelays)
{
    for (int round = 0; round < 200; ++round)
        Routing::recordPrefill(m_table, "advisor", 500, round % 4 == 0 ? 1.0 : 0.05);
    EXPECT_GT(Routing::prefillSecondsPerToken(m_table, "advisor"), 0.00009);
    EXPECT_LT(Routing::prefillSecondsPerToken(m_table, "advisor"), 0.0003);
}

// Guards against a request that keeps its high priority although its output is longer than estimated.
TEST(LengthEstimatorTest, EstimatesConvergeAndAreCorrected)
{
    Routing::LengthEstimator estimator;
    Routing::LengthHint const tag { "classroom", "advisor", 40, 16 };
    Routing::LengthHint const report { "classroom", "advisor", 900, 4000 };
    for (int round = 0; round < 50; ++round) {
        estimator.recordFinished(tag, 4);
        estimator.recordFinished(report, 1800);
    }
    EXPECT_LE(estimator.estimate(tag), 6u);
    EXPECT_GE(estimator.estimate(report), 1700u);
    EXPECT_LT(Routing::priorityForRemaining(estimator.estimate(tag)), Routing::priorityForRemaining(estimator.estimate(report)));
    EXPECT_EQ(Routing::correctedEstimate(10, 10, 100), 20u);
    EXPECT_EQ(Routing::correctedEstimate(10, 80, 100), 100u);
}

// Guards against an index that grows without bound.
TEST(PrefixIndexTest, IsBoundedAndRemovesEntries)
{
    Routing::PrefixIndex index(10);
    for (std::uint64_t hash = 0; hash < 100; ++hash)
        index.recordStored("a", hash);
    EXPECT_EQ(index.size(), 10u);
    EXPECT_EQ(index.cachedTokens("a", { 95, 96, 1 }), 32u);
    index.recordEvicted("a", 96);
    EXPECT_EQ(index.cachedTokens("a", { 95, 96 }), 16u);
    index.removeServer("a");
    EXPECT_EQ(index.size(), 0u);
}
