#include <LibForward/PeerTable.h>
#include <functional>
#include <gtest/gtest.h>
#include <limits>

using namespace std::chrono_literals;

namespace {

Forward::NodeReport report(std::string node, std::uint64_t incarnation = 1)
{
    Forward::NodeReport result;
    result.node = std::move(node);
    result.incarnation = incarnation;
    result.dataCentre = "a";
    result.endpoint = "10.0.0.1:7600";
    result.sentAtUnixMilliseconds = 1'000'000;
    result.configurationVersion = 7;
    result.serversRevision = { 2, 530 };
    result.loads = { { 17, 3 }, { 18, 1 } };
    result.demands = { { "team", { 12.5F, 100 } } };
    result.usage = { { 353, { { "team", 4 } } } };
    result.peers = { "10.0.0.2:7600" };
    result.quarantined = { { 98, std::nullopt }, { 99, 59min } };
    result.suspectParts = { { 7, { { 3, { 20ms, 5 } }, { 4, { 30ms, 6 } } }, { { 5, { 40ms, 6 } } }, 10ms, false }, { 8, {}, {}, std::nullopt, true } };
    result.suspectRequests = { { 9, { { 6, { 20ms, 5 } } }, {}, 10ms, false } };
    result.leavingServers = { { 17, 1'765'000'000'000 }, { 18, 1 } };
    result.isLeaving = true;
    result.holdsDuties = true;
    return result;
}

}

TEST(NodeReportTest, RoundTrip)
{
    auto const decoded = Forward::decodeReport(Forward::encodeReport(report("n1")));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, report("n1"));
}

// Guards against a process that crashes on a foreign or truncated datagram.
TEST(NodeReportTest, OtherBytesAreRefused)
{
    auto const bytes = Forward::encodeReport(report("n1"));
    EXPECT_FALSE(Forward::decodeReport(""));
    EXPECT_FALSE(Forward::decodeReport("GET / HTTP/1.1\r\n\r\n"));
    for (std::size_t length = 0; length + 40 < bytes.size(); length += 7)
        EXPECT_FALSE(Forward::decodeReport(std::string_view(bytes).substr(0, length))) << length;
}

// Guards against one report that refuses a team's requests for ever, or breaks the order of the nodes or the arithmetic on times.
TEST(NodeReportTest, NumbersOutOfRangeAreRefused)
{
    auto const nan = std::numeric_limits<double>::quiet_NaN();
    auto const infinity = std::numeric_limits<double>::infinity();
    std::vector<std::function<void(Forward::NodeReport&)>> changes;
    for (double const odd : { nan, infinity, -infinity, -1.0 }) {
        changes.emplace_back([odd](auto& report) { report.processorShare = static_cast<float>(odd); });
        changes.emplace_back([odd](auto& report) { report.contacts = { { .node = "n2", .processorShare = static_cast<float>(odd) } }; });
        changes.emplace_back([odd](auto& report) { report.demands["team"].perSecond = static_cast<float>(odd); });
        // What an aggregating node has not observed yet may be deducted.
        changes.emplace_back([odd](auto& report) { report.demands["team"].admitted = odd == -1 ? std::numeric_limits<double>::infinity() : odd; });
    }
    for (auto const odd : { INT64_MIN, INT64_MAX })
        changes.emplace_back([odd](auto& report) { report.sentAtUnixMilliseconds = odd; });
    changes.emplace_back([](auto& report) { report.nodes = UINT32_MAX; });
    // A datagram that is decoded to many times its size.
    changes.emplace_back([](auto& report) { report.leavingServers.resize(1'000'000); });
    for (std::size_t i = 0; i < changes.size(); ++i) {
        auto odd = report("n1");
        changes[i](odd);
        EXPECT_FALSE(Forward::decodeReport(Forward::encodeReport(odd))) << i;
    }
}

TEST(PeerTableTest, ReportsOfAnEarlierStartAreIgnored)
{
    Forward::PeerTable table;
    Core::MonotonicTime const now { 100s };
    EXPECT_TRUE(Forward::mergeReport(table, report("n1", 5), 1'000'000, now));
    EXPECT_FALSE(Forward::mergeReport(table, report("n1", 4), 1'000'000, now + 100ms));
    // The node's clock may have been set back before it restarted.
    EXPECT_TRUE(Forward::mergeReport(table, report("n1", 4), 1'000'000, now + 3s));
}

TEST(PeerTableTest, SilentNodesKeepTheirQuotaShareLongerThanTheirLoad)
{
    Forward::PeerTable table;
    Core::MonotonicTime const now { 100s };
    auto peer = report("n1");
    peer.isLeaving = false;
    (void)Forward::mergeReport(table, peer, 1'000'000, now);
    EXPECT_EQ(Forward::peerLoad(table, 17, now), 3u);
    EXPECT_EQ(Forward::peerLoad(table, 17, now + 2s), 0u);
    Forward::expirePeers(table, now + 6s);
    table.own = report("n2");
    EXPECT_LT(Forward::demandBasedShare(table, "team"), 0.6);
    Forward::expirePeers(table, now + 13s);
    EXPECT_DOUBLE_EQ(Forward::demandBasedShare(table, "team"), 1);
}

// Load pattern: a team's demand grows at all nodes at once. The shares must not add up to more than one.
TEST(PeerTableTest, SharesOfAGrowingDemandAddUpToOne)
{
    Core::MonotonicTime const now { 100s };
    static constexpr int nodes = 20;
    double sum = 0;
    for (int own = 0; own < nodes; ++own) {
        Forward::PeerTable table;
        for (int i = 0; i < nodes; ++i) {
            auto peer = report("n" + std::to_string(i));
            peer.demands["team"].perSecond = static_cast<float>(i % 3);
            if (i == own)
                table.own = peer;
            else
                (void)Forward::mergeReport(table, peer, 1'000'000, now);
        }
        sum += Forward::demandBasedShare(table, "team");
    }
    EXPECT_NEAR(sum, 1, 1e-6);
}

// Load pattern: servers leave while many nodes learn of it from the few that read the store. A peer that has just fetched from one
// of these reports the same revision, but must not be preferred to them (DRAIN on scale-2 of cypress-grow-grown).
TEST(PeerTableTest, DataIsFetchedFromANodeThatReadsTheStore)
{
    Core::MonotonicTime const now { 100s };
    Forward::PeerTable table;
    auto const add = [&](std::string const& node, std::string const& dataCentre, std::uint64_t revision, bool watchesStore) {
        auto peer = report(node);
        peer.dataCentre = dataCentre;
        peer.serversRevision.number = revision;
        peer.watchesStore = watchesStore;
        (void)Forward::mergeReport(table, peer, 1'000'000, now);
    };
    auto const source = [&](std::uint64_t known, Core::MonotonicTime at) {
        auto const* row = Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 2, known }, "a", at);
        return row ? row->report.node : std::string();
    };
    add("n1", "a", 540, false);
    EXPECT_EQ(source(530, now), "n1");
    add("n2", "b", 540, true);
    EXPECT_EQ(source(530, now), "n2");
    add("n3", "a", 539, true);
    EXPECT_EQ(source(530, now), "n3");
    EXPECT_EQ(source(539, now), "n2");
    EXPECT_EQ(source(540, now), "");
    EXPECT_EQ(source(530, now + 5s), "");
}

// Guards against a node that keeps the servers of before the store was restored, since their revision has the higher number.
TEST(PeerTableTest, DataOfALaterEraOfTheStoreIsNewer)
{
    Core::MonotonicTime const now { 100s };
    Forward::PeerTable table;
    auto peer = report("n1");
    peer.serversRevision = { 3, 100 };
    (void)Forward::mergeReport(table, peer, 1'000'000, now);
    EXPECT_TRUE(Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 2, 540 }, "a", now));
    EXPECT_FALSE(Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 3, 100 }, "a", now));
}

// Load pattern: servers flap, and all nodes of a data centre fetch each change at once. A small node that read it first was saturated by
// that, and used a leaving server for over three seconds (DRAIN on a mixed day of tcdrb-hyssop-grown).
TEST(PeerTableTest, DataIsFetchedFromTheNodeWithTheMostProcessor)
{
    Core::MonotonicTime const now { 100s };
    Forward::PeerTable table;
    for (auto const& [node, share, revision] : { std::tuple { "n1", 0.12F, 541 }, std::tuple { "n2", 0.5F, 540 }, std::tuple { "n3", 0.12F, 540 } }) {
        auto peer = report(node);
        peer.processorShare = share;
        peer.serversRevision.number = static_cast<std::uint64_t>(revision);
        peer.watchesStore = true;
        (void)Forward::mergeReport(table, peer, 1'000'000, now);
    }
    EXPECT_EQ(Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 2, 530 }, "a", now)->report.node, "n2");
    EXPECT_EQ(Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 2, 540 }, "a", now)->report.node, "n1");
}

// Load pattern: a node of 0.12 core on a 10 Mbit/s link reads a change first, and all nodes of the deployment fetch from it at once: the
// fetches exceeded their deadline (CONFIG on trouble-2 of vzl-showlog-grown). The nodes with more processor read the
// change a moment later.
TEST(PeerTableTest, SmallNodeThatReadsAChangeFirstIsNotAskedByAll)
{
    Core::MonotonicTime const now { 100s };
    Forward::PeerTable table;
    for (auto const& [node, share, revision] : { std::tuple { "n1", 0.12F, 541 }, std::tuple { "n2", 0.5F, 540 } }) {
        auto peer = report(node);
        peer.processorShare = share;
        peer.serversRevision.number = static_cast<std::uint64_t>(revision);
        peer.watchesStore = true;
        (void)Forward::mergeReport(table, peer, 1'000'000, now);
    }
    auto const& small = *Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 2, 540 }, "a", now);
    ASSERT_EQ(small.report.node, "n1");
    EXPECT_FALSE(Forward::shouldFetchNow(table, small.report, false, 0ms, now));
    EXPECT_TRUE(Forward::shouldFetchNow(table, small.report, false, 300ms, now));
    auto const& large = *Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Servers, { 2, 539 }, "a", now);
    ASSERT_EQ(large.report.node, "n2");
    EXPECT_TRUE(Forward::shouldFetchNow(table, large.report, false, 0ms, now));
    EXPECT_FALSE(Forward::shouldFetchNow(table, large.report, true, 0ms, now));
    // Without the large node, there is nothing to wait for.
    Forward::recordFailedFetch(table, "n2", now);
    EXPECT_TRUE(Forward::shouldFetchNow(table, small.report, false, 0ms, now));
}

// Guards against asking the same peer again and again: its reports arrive, but it cannot be reached, so that this node keeps an old
// configuration.
TEST(PeerTableTest, AfterAFailedFetchAnotherPeerIsAsked)
{
    Core::MonotonicTime now { 100s };
    Forward::PeerTable table;
    auto const addReports = [&] {
        for (auto const& [node, share] : { std::pair { "n1", 0.12F }, std::pair { "n2", 0.5F } }) {
            auto peer = report(node);
            peer.processorShare = share;
            peer.configurationVersion = 7;
            peer.watchesStore = true;
            (void)Forward::mergeReport(table, peer, 1'000'000, now);
        }
    };
    auto const source = [&] { return Forward::choosePeerToFetchFrom(table, Forward::PeerDataKind::Configuration, { 0, 6 }, "a", now)->report.node; };
    addReports();
    EXPECT_EQ(source(), "n2");
    Forward::recordFailedFetch(table, "n2", now);
    now += 500ms;
    addReports();
    EXPECT_EQ(source(), "n1");
    Forward::recordFailedFetch(table, "n1", now);
    // A peer that failed is better than none.
    EXPECT_EQ(source(), "n2");
    now += 4s;
    addReports();
    EXPECT_EQ(source(), "n2");
}

// Load pattern: 70 nodes on 10 Mbit/s links. Full reports to all at once overflowed the link, so the same nodes never got one and
// reported only a seventh of the usage (scale-1 of vzl-showlog-grown).
TEST(PeerTableTest, FullReportsAreSpreadOverTheRounds)
{
    static constexpr std::size_t reportBytes = 3000;
    static constexpr std::size_t largestRound = 64 * 1024;
    Core::MonotonicTime now { 100s };
    Forward::PeerTable table;
    for (int i = 0; i < 70; ++i) {
        auto peer = report("n" + std::to_string(i));
        peer.endpoint = "10.0.0." + std::to_string(i + 1) + ":7600";
        (void)Forward::mergeReport(table, peer, 1'000'000, now);
    }
    Forward::FullReportTimes sentAt;
    for (int round = 0; round < 40; ++round) {
        auto const targets = Forward::fullReportTargets(table, sentAt, reportBytes, now);
        EXPECT_LE(targets.size() * reportBytes, largestRound);
        for (auto const& endpoint : targets)
            sentAt[endpoint] = now;
        now += Forward::reportInterval(table.rows.size());
        for (auto const& [endpoint, at] : sentAt)
            EXPECT_LE(now - at, Forward::fullReportInterval(table.rows.size()) + Forward::reportInterval(table.rows.size()));
    }
    EXPECT_EQ(sentAt.size(), table.candidates.size());
}

TEST(PeerTableTest, BriefReportsKeepWhatTheyLeaveOut)
{
    Forward::PeerTable table;
    Core::MonotonicTime const now { 100s };
    auto const full = report("n1");
    auto next = full;
    next.loads = { { 18, 4 } };
    next.demands["other"] = { 5, 40 };
    auto const brief = Forward::briefReport(next, full);
    EXPECT_EQ(brief.demands.size(), 1u);
    EXPECT_LT(Forward::encodeReport(brief).size(), Forward::encodeReport(next).size());
    // The fields omitted from a brief report are known only after a full one of the same incarnation.
    EXPECT_FALSE(Forward::mergeReport(table, brief, 1'000'000, now));
    EXPECT_TRUE(Forward::mergeReport(table, full, 1'000'000, now));
    EXPECT_TRUE(Forward::mergeReport(table, brief, 1'000'000, now));
    EXPECT_EQ(table.rows.at("n1").report, next);
    auto restarted = brief;
    restarted.incarnation = 2;
    EXPECT_FALSE(Forward::mergeReport(table, restarted, 1'000'000, now));
}

TEST(PeerTableTest, AFewNodesOfADataCentreReadTheStore)
{
    Core::MonotonicTime const now { 100s };
    std::vector<std::string> watchers;
    auto const tableWithout = [&](std::string const& own) {
        Forward::PeerTable table;
        for (int i = 0; i < 15; ++i) {
            auto peer = report("n" + std::to_string(i));
            peer.isLeaving = false;
            peer.watchesStore = i == 0;
            if (peer.node != own)
                (void)Forward::mergeReport(table, peer, 1'000'000, now);
        }
        return table;
    };
    for (int i = 1; i < 15; ++i) {
        auto const own = "n" + std::to_string(i);
        if (Forward::shouldWatchStore(tableWithout(own), own, "a", now))
            watchers.push_back(own);
    }
    EXPECT_GE(watchers.size(), 2u);
    EXPECT_LE(watchers.size(), 3u);
    // A node reads the store itself if no live peer does, or if it is alone in its data centre.
    EXPECT_TRUE(Forward::shouldWatchStore(tableWithout("n14"), "n14", "a", now + 2s));
    EXPECT_TRUE(Forward::shouldWatchStore(tableWithout("n14"), "n14", "b", now));
}

// Load pattern: a network partition isolates a data centre while requests go there.
TEST(PeerTableTest, PartitionIsSuspectedWhenAllNodesOfADataCentreFallSilent)
{
    Forward::PeerTable table;
    Core::MonotonicTime const now { 100s };
    for (auto const* node : { "a1", "a2", "b1" }) {
        auto peer = report(node);
        peer.dataCentre = std::string(1, node[0]);
        peer.isLeaving = false;
        (void)Forward::mergeReport(table, peer, 1'000'000, now);
    }
    (void)Forward::mergeReport(
        table, [] { auto peer = report("a2"); peer.dataCentre = "a"; peer.isLeaving = false; return peer; }(), 1'000'000, now + 600ms);
    EXPECT_FALSE(Forward::isPartitionSuspected(table, "a", now + 900ms));
    EXPECT_TRUE(Forward::isPartitionSuspected(table, "b", now + 900ms));
    EXPECT_TRUE(Forward::isPartitionSuspected(table, "a", now + 1500ms));
    // A data centre without known nodes is not suspected.
    EXPECT_FALSE(Forward::isPartitionSuspected(table, "c", now + 1500ms));
    // A node that stops as planned does not indicate a partition.
    (void)Forward::mergeReport(
        table, [] { auto peer = report("b1"); peer.dataCentre = "b"; return peer; }(), 1'000'000, now);
    EXPECT_FALSE(Forward::isPartitionSuspected(table, "b", now + 900ms));
}

// Guards against usage windows that follow the clock of a single node that jumped.
TEST(PeerTableTest, ClockJumpsOfSingleNodesDoNotMoveTheMedian)
{
    Forward::PeerTable table;
    Core::MonotonicTime const now { 100s };
    (void)Forward::mergeReport(table, report("n1"), 1'000'000, now);
    (void)Forward::mergeReport(table, report("n2"), 1'000'000 + 2400, now);
    EXPECT_EQ(Forward::medianClockOffset(table, now), 0ms);
    // This node's own clock is the one that jumped.
    (void)Forward::mergeReport(table, report("n1"), 1'000'000 + 2400, now);
    EXPECT_EQ(Forward::medianClockOffset(table, now), -2400ms);
}
