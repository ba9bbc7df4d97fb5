#include <LibMembership/PlatformData.h>

#include <gmock/gmock.h>

using namespace std::chrono_literals;
using Membership::PlatformData;
using Membership::PlatformDataCursor;
using Peer::ServerEntry;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

namespace {

Core::MonotonicTime at(Core::Duration sinceStart)
{
    return Core::MonotonicTime(1000s) + sinceStart;
}

ServerEntry server(std::string id, bool leaving = false)
{
    return { std::move(id), "127.0.0.1:1", "advisor", "v1", "dc1", "dc1-a", 1, leaving };
}

PlatformData dataWith(std::uint64_t epoch, std::vector<ServerEntry> const& servers, Core::Duration readAt)
{
    PlatformData data;
    data.epoch = epoch;
    Membership::applyServerList(data, servers, at(readAt));
    return data;
}

// Simulates one call of a node to a relay. Returns the number of rows in the reply.
std::size_t fetch(PlatformData& node, PlatformDataCursor& cursor, PlatformData const& relay, Core::Duration now)
{
    auto const reply = Membership::createFetchReply(relay, Membership::createFetchRequest(node, cursor), at(now));
    Membership::mergeReply(node, cursor, reply, at(now));
    return reply.servers.size() + reply.removedIds.size();
}

std::vector<std::string> idsOf(PlatformData const& data)
{
    std::vector<std::string> ids;
    for (auto const& entry : Membership::listedServers(data))
        ids.push_back(entry.id);
    return ids;
}

}

// Guards against control traffic that grows with the number of servers while nothing changes.
TEST(PlatformDataTest, OnlyChangesAreSent)
{
    auto relay = dataWith(1, { server("a"), server("b"), server("c") }, 0s);
    PlatformData node;
    PlatformDataCursor cursor;
    EXPECT_EQ(fetch(node, cursor, relay, 1s), 3u);
    EXPECT_TRUE(Membership::applyServerList(relay, { server("a"), server("b"), server("c") }, at(2s)));
    EXPECT_FALSE(Membership::hasUpdateFor(relay, Membership::createFetchRequest(node, cursor)));
    EXPECT_EQ(fetch(node, cursor, relay, 3s), 0u);
    Membership::applyServerList(relay, { server("a", true), server("c"), server("d") }, at(4s));
    EXPECT_TRUE(Membership::hasUpdateFor(relay, Membership::createFetchRequest(node, cursor)));
    EXPECT_EQ(fetch(node, cursor, relay, 5s), 3u);
    EXPECT_THAT(idsOf(node), ElementsAre("a", "c", "d"));
    EXPECT_TRUE(node.rows.at("a").entry.leaving);
    EXPECT_EQ(node.contentHash, relay.contentHash);
}

// Guards against sending the whole list when a node switches to another relay.
TEST(PlatformDataTest, EqualListsOfTwoRelaysAreSentOnce)
{
    auto const first = dataWith(1, { server("a"), server("b") }, 0s);
    auto const second = dataWith(2, { server("a"), server("b") }, 1s);
    PlatformData node;
    PlatformDataCursor cursor;
    EXPECT_EQ(fetch(node, cursor, first, 2s), 2u);
    PlatformDataCursor otherCursor;
    EXPECT_EQ(fetch(node, otherCursor, second, 2s), 0u);
    EXPECT_EQ(otherCursor, (PlatformDataCursor { 2, second.version }));
}

// Guards against a lagging relay whose older list replaces a newer one and restores a removed server.
TEST(PlatformDataTest, OlderListOfAnotherRelayIsNotApplied)
{
    auto const current = dataWith(1, { server("a"), server("new") }, 10s);
    auto lagging = dataWith(2, { server("a"), server("removed") }, 0s);
    PlatformData node;
    PlatformDataCursor cursor;
    PlatformDataCursor laggingCursor;
    fetch(node, cursor, current, 11s);
    fetch(node, laggingCursor, lagging, 11s);
    EXPECT_THAT(idsOf(node), ElementsAre("a", "new"));
    // The next request asks for the whole list, whatever changed at the other relay meanwhile.
    EXPECT_EQ(laggingCursor, PlatformDataCursor {});
    Membership::applyServerList(lagging, { server("a"), server("new") }, at(12s));
    fetch(node, laggingCursor, lagging, 13s);
    EXPECT_THAT(idsOf(node), ElementsAre("a", "new"));
    EXPECT_EQ(node.contentHash, lagging.contentHash);
}

// Guards against a node that keeps an outdated list, read later from a lagging platform, because its relay's list never changes.
TEST(PlatformDataTest, UnchangedListReplacesALaggingOne)
{
    auto relay = dataWith(1, { server("a") }, 0s);
    auto node = dataWith(2, {}, 1s);
    PlatformDataCursor cursor;
    fetch(node, cursor, relay, 2s);
    EXPECT_THAT(idsOf(node), ElementsAre());
    Membership::applyServerList(relay, { server("a") }, at(3s));
    EXPECT_TRUE(Membership::hasUpdateFor(relay, Membership::createFetchRequest(node, cursor)));
    fetch(node, cursor, relay, 4s);
    EXPECT_THAT(idsOf(node), ElementsAre("a"));
    EXPECT_FALSE(Membership::hasUpdateFor(relay, Membership::createFetchRequest(node, cursor)));
}

// Guards against a list that remains a mixture of two relays' lists.
TEST(PlatformDataTest, ChangesOnAnotherBaseLeadToAWholeList)
{
    auto first = dataWith(1, { server("a"), server("b") }, 10s);
    auto second = dataWith(2, { server("a"), server("b") }, 9s);
    PlatformData node;
    PlatformDataCursor cursor;
    PlatformDataCursor secondCursor;
    fetch(node, cursor, first, 11s);
    fetch(node, secondCursor, second, 11s);
    Membership::applyServerList(first, { server("a"), server("b"), server("x") }, at(15s));
    fetch(node, cursor, first, 16s);
    Membership::applyServerList(second, { server("a"), server("b"), server("d") }, at(20s));
    fetch(node, secondCursor, second, 21s);
    EXPECT_EQ(secondCursor, PlatformDataCursor {});
    Membership::applyServerList(second, { server("a"), server("b"), server("d") }, at(22s));
    fetch(node, secondCursor, second, 23s);
    EXPECT_THAT(idsOf(node), ElementsAre("a", "b", "d"));
}

// Guards against changes based on a version of an earlier relay process, or on one whose removals were pruned.
TEST(PlatformDataTest, UnknownVersionGetsTheWholeList)
{
    auto relay = dataWith(7, { server("a"), server("b") }, 5s);
    relay.version = 100;
    auto node = dataWith(3, { server("a"), server("gone") }, 0s);
    PlatformDataCursor cursor { 6, 90 };
    fetch(node, cursor, relay, 6s);
    EXPECT_THAT(idsOf(node), ElementsAre("a", "b"));
    relay.prunedVersion = 95;
    node = dataWith(3, { server("a"), server("gone") }, 0s);
    cursor = { 7, 90 };
    fetch(node, cursor, relay, 6s);
    EXPECT_THAT(idsOf(node), ElementsAre("a", "b"));
}

// Guards against a notice that is lost, or handled twice because two relays forward it.
TEST(PlatformDataTest, EachNoticeIsReportedOnce)
{
    PlatformData relay;
    Membership::addNotices(relay, { { 4, "a", 1000 }, { 5, "b", 2000 } }, 5);
    PlatformData node;
    EXPECT_TRUE(Membership::hasUpdateFor(relay, Membership::createFetchRequest(node, {})));
    PlatformDataCursor cursor;
    auto const reply = Membership::createFetchReply(relay, Membership::createFetchRequest(node, cursor), at(0s));
    EXPECT_FALSE(reply.hasList);
    EXPECT_THAT(Membership::mergeReply(node, cursor, reply, at(0s)).notices, SizeIs(2));
    EXPECT_THAT(Membership::mergeReply(node, cursor, reply, at(0s)).notices, IsEmpty());
    EXPECT_FALSE(Membership::hasUpdateFor(relay, Membership::createFetchRequest(node, cursor)));
    Membership::expireNotices(relay, 62'001);
    EXPECT_THAT(relay.notices, SizeIs(0));
    EXPECT_EQ(relay.noticeSequence, 5u);
}

// Guards against every node polling the platform, and against nodes left without data when their relays have none.
TEST(PlatformDataTest, SourcesDependOnRoleAndAge)
{
    using enum Membership::PlatformDataSource;
    using Membership::RelayRole;
    EXPECT_THAT(Membership::choosePlatformDataSources(RelayRole::Relay, 1s, 12s), ElementsAre(Platform, LocalRelays, RemoteRelay));
    EXPECT_THAT(Membership::choosePlatformDataSources(RelayRole::Member, 1s, 12s), ElementsAre(LocalRelays));
    EXPECT_THAT(Membership::choosePlatformDataSources(RelayRole::Member, 13s, 12s), ElementsAre(LocalRelays, Platform));
    EXPECT_THAT(Membership::choosePlatformDataSources(RelayRole::Member, std::nullopt, 12s), ElementsAre(LocalRelays, Platform));
}

// Guards against relays that form separate rings, so that a list read in one never reaches another.
TEST(PlatformDataTest, DataCentresFormOneRing)
{
    std::set<std::string> const dataCentres { "a", "b", "c" };
    EXPECT_EQ(Membership::nextDataCentre(dataCentres, "a"), "b");
    EXPECT_EQ(Membership::nextDataCentre(dataCentres, "c"), "a");
    EXPECT_EQ(Membership::nextDataCentre({ "a" }, "a"), "");
}

// Guards against list reads that exceed the relay's bandwidth limit once the number of servers has grown.
TEST(PlatformDataTest, ListIsReadLessOftenWhenItGrows)
{
    EXPECT_EQ(Membership::hostListPollInterval(2'000, 6'000, 1s), 1s);
    EXPECT_EQ(Membership::hostListPollInterval(60'000, 6'000, 1s), 10s);
}
