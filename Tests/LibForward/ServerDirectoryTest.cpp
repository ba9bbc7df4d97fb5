#include <LibForward/ServerDirectory.h>
#include <gtest/gtest.h>
#include <set>

using namespace std::chrono_literals;

namespace {

class ServerDirectoryTest : public testing::Test {
protected:
    void SetUp() override
    {
        for (int i = 0; i < 6; ++i)
            Forward::registerServer(m_directory, { .id = "s" + std::to_string(i), .service = "model" }, m_now);
    }

    std::size_t inUse() { return Forward::serversInUse(m_directory, m_now).size(); }

    Forward::ServerDirectory m_directory;
    Core::MonotonicTime m_now { 100s };
};

}

// Guards against new work for a server that was removed without having been marked as leaving.
TEST_F(ServerDirectoryTest, ARemovedServerIsOutOfUseAtOnce)
{
    Forward::unregisterServer(m_directory, "s1", m_now);
    EXPECT_EQ(inUse(), 5u);
}

// Guards against dropping live servers whose entries expired in a store outage.
TEST_F(ServerDirectoryTest, EntriesThatExpiredInAStoreOutageAreKeptUntilServersCanRegisterAgain)
{
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::mergeServers(m_directory, {}, {}, m_now);
    EXPECT_EQ(inUse(), 6u);
    m_now += 1s;
    Forward::registerServer(m_directory, { .id = "s1", .service = "model" }, m_now);
    EXPECT_EQ(inUse(), 6u);
    m_now += 700ms;
    EXPECT_EQ(inUse(), 1u);
}

// Guards against the same when this node had no call in progress and did not detect the outage.
TEST_F(ServerDirectoryTest, ManyRemovalsAtOnceCountAsAStoreOutage)
{
    for (int i = 0; i < 4; ++i)
        Forward::unregisterServer(m_directory, "s" + std::to_string(i), m_now);
    EXPECT_EQ(inUse(), 6u);
    m_now += 1700ms;
    EXPECT_EQ(inUse(), 2u);
}

// A server removed while the store works must be out of use within two seconds, even if this node's own connection to the store
// was just restored (scale-2 of cypress-grow: a request arrived 2.2 s after the removal).
TEST_F(ServerDirectoryTest, ALostStoreConnectionDoesNotKeepARemovedServerForTwoSeconds)
{
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::unregisterServer(m_directory, "s1", m_now);
    m_now += 1900ms;
    EXPECT_EQ(inUse(), 5u);
}

// Guards against using a removed server again when another watch of the node fails a second later (DRAIN on scale-2 of
// cypress-grow-grown: a request arrived 3.6 s after the removal).
TEST_F(ServerDirectoryTest, AStoreOutageDoesNotRestoreServersRemovedBefore)
{
    Forward::unregisterServer(m_directory, "s1", m_now);
    m_now += 1300ms;
    EXPECT_EQ(inUse(), 5u);
    Forward::recordStoreOutage(m_directory, m_now);
    EXPECT_EQ(inUse(), 5u);
    m_now += 1s;
    Forward::recordStoreOutage(m_directory, m_now);
    EXPECT_EQ(inUse(), 5u);
}

TEST_F(ServerDirectoryTest, ALeavingServerIsNotKept)
{
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::registerServer(m_directory, { .id = "s1", .service = "model", .lifecycle = Routing::Lifecycle::Leaving }, m_now);
    Forward::unregisterServer(m_directory, "s1", m_now);
    EXPECT_EQ(inUse(), 5u);
}

// Load pattern: the store drops its history while a server leaves, so that the watch of a peer misses the removal. The peer's list claims a
// later revision, but must not bring the server back (DRAIN on scale-2 of tcdrb-hyssop-grown).
TEST_F(ServerDirectoryTest, ListOfAPeerDoesNotRestoreARemovedServer)
{
    Routing::ListedServer server { .id = "s9", .service = "model", .revision = { 0, 10 } };
    Forward::registerServer(m_directory, server, m_now);
    Forward::unregisterServer(m_directory, "s9", m_now);
    auto const isInUse = [&](Core::Duration later) {
        auto const servers = Forward::serversInUse(m_directory, m_now + later);
        return std::any_of(servers.begin(), servers.end(), [](auto const& item) { return item.id == "s9"; });
    };
    EXPECT_FALSE(isInUse(0s));
    Forward::mergeServers(m_directory, { server }, { 0, 205 }, m_now + 3s);
    EXPECT_FALSE(isInUse(3s));
    // It has registered again.
    server.revision.number = 206;
    Forward::mergeServers(m_directory, { server }, { 0, 206 }, m_now + 4s);
    EXPECT_TRUE(isInUse(4s));
    // The list of a peer is older than the leaving that this node has read.
    auto leaving = server;
    leaving.lifecycle = Routing::Lifecycle::Leaving;
    leaving.revision.number = 210;
    Forward::registerServer(m_directory, leaving, m_now);
    Forward::mergeServers(m_directory, { server }, { 0, 211 }, m_now + 5s);
    EXPECT_EQ(m_directory.entries.at("s9").server.lifecycle, Routing::Lifecycle::Leaving);
    // An entry newer than a peer's list stays although the list lacks it.
    Forward::mergeServers(m_directory, {}, { 0, 209 }, m_now + 6s);
    EXPECT_FALSE(m_directory.entries.at("s9").removedAt);
    Forward::mergeServers(m_directory, {}, { 0, 212 }, m_now + 7s);
    EXPECT_TRUE(m_directory.entries.at("s9").removedAt);
}

// Guards against new requests for servers that have left: the restored store has their entries from before, with reassigned numbers.
TEST_F(ServerDirectoryTest, RestoredStoreDoesNotBringBackServersThatLeft)
{
    auto const entry = [](std::string id, Core::StoreRevision revision, Routing::Lifecycle lifecycle = Routing::Lifecycle::Live) {
        return Routing::ListedServer { .id = std::move(id), .service = "model", .incarnation = 7, .lifecycle = lifecycle, .revision = revision };
    };
    Forward::mergeServers(m_directory, { entry("s1", { 1, 10 }), entry("s2", { 1, 11 }), entry("s3", { 1, 12 }), entry("s4", { 1, 13 }) }, { 1, 20 }, m_now);
    m_now += 10s;
    ASSERT_EQ(inUse(), 4u);
    Forward::registerServer(m_directory, entry("s1", { 1, 21 }, Routing::Lifecycle::Leaving), m_now);
    Forward::unregisterServer(m_directory, "s2", m_now);
    Forward::registerServer(m_directory, entry("s3", { 1, 23 }, Routing::Lifecycle::Leaving), m_now);
    Forward::unregisterServer(m_directory, "s3", m_now);
    m_now += 2s;
    // The copy is of revision 20. Other changes have been given the numbers up to 25 since.
    Forward::mergeServers(m_directory, { entry("s1", { 2, 10 }), entry("s2", { 2, 11 }), entry("s3", { 2, 12 }), entry("s4", { 2, 13 }), entry("s5", { 2, 21 }) }, { 2, 25 }, m_now);
    EXPECT_EQ(m_directory.entries.at("s1").server.lifecycle, Routing::Lifecycle::Leaving);
    std::set<std::string> live;
    for (auto const& server : Forward::serversInUse(m_directory, m_now)) {
        if (server.lifecycle == Routing::Lifecycle::Live)
            live.insert(server.id);
    }
    EXPECT_EQ(live, (std::set<std::string> { "s4", "s5" }));
    // It has started again, or registered again since.
    auto restarted = entry("s3", { 2, 26 });
    restarted.incarnation = 8;
    Forward::registerServer(m_directory, restarted, m_now);
    Forward::registerServer(m_directory, entry("s2", { 2, 27 }), m_now);
    EXPECT_EQ(m_directory.entries.at("s3").server.lifecycle, Routing::Lifecycle::Live);
    EXPECT_FALSE(m_directory.entries.at("s2").removedAt);
}

// Guards against dropping running servers whose entries the restored store lacks until they are written again, at a node that did not
// notice the outage itself.
TEST_F(ServerDirectoryTest, EntriesThatARestoredStoreLacksAreKeptUntilServersCanRegisterAgain)
{
    Routing::ListedServer const added { .id = "s9", .service = "model", .incarnation = 7, .revision = { 1, 300 } };
    Forward::mergeServers(m_directory, { added }, { 1, 310 }, m_now);
    m_now += 10s;
    Forward::mergeServers(m_directory, {}, { 2, 250 }, m_now);
    EXPECT_EQ(inUse(), 1u);
    auto again = added;
    again.revision = { 2, 260 };
    m_now += 1s;
    Forward::registerServer(m_directory, again, m_now);
    m_now += 10s;
    EXPECT_EQ(inUse(), 1u);
}

// Guards against keeping an old list: revisions of a later era are newer though their numbers are lower.
TEST_F(ServerDirectoryTest, RevisionsAreOrderedByEraFirst)
{
    Routing::ListedServer const before { .id = "s9", .service = "model", .incarnation = 7, .revision = { 1, 300 } };
    Forward::mergeServers(m_directory, { before }, { 1, 310 }, m_now);
    auto after = before;
    after.revision = { 2, 255 };
    after.version = "v2";
    Forward::registerServer(m_directory, after, m_now);
    EXPECT_EQ(m_directory.entries.at("s9").server.version, "v2");
    Forward::registerServer(m_directory, before, m_now);
    EXPECT_EQ(m_directory.entries.at("s9").server.version, "v2");
}

// Guards against a running server that stays unused: its entry was removed while it was silent, the copy is from before that, and its
// writes after the restoration change nothing.
TEST_F(ServerDirectoryTest, RunningServerWhoseEntryIsRestoredUnchangedIsUsedAgain)
{
    auto const entry = [](std::string id, Core::StoreRevision revision) { return Routing::ListedServer { .id = std::move(id), .service = "model", .incarnation = 7, .revision = revision }; };
    Forward::mergeServers(m_directory, { entry("s1", { 1, 10 }), entry("s2", { 1, 11 }) }, { 1, 20 }, m_now);
    m_now += 10s;
    Forward::unregisterServer(m_directory, "s1", m_now);
    m_now += 3s;
    Forward::mergeServers(m_directory, { entry("s1", { 2, 10 }), entry("s2", { 2, 11 }) }, { 2, 20 }, m_now);
    // No event follows, since the entry does not change. Its entry is still there after the time in which silent ones expire.
    for (int i = 0; i < 60; ++i) {
        m_now += 1s;
        (void)inUse();
    }
    EXPECT_EQ(inUse(), 2u);
}

// Guards against new requests for a server that left shortly after the end of a store outage, when a second restoration brings its entry back.
TEST_F(ServerDirectoryTest, SecondRestorationDoesNotBringBackAServerThatLeftAfterTheFirst)
{
    auto const entry = [](std::string id, Core::StoreRevision revision) { return Routing::ListedServer { .id = std::move(id), .service = "model", .incarnation = 7, .revision = revision }; };
    Forward::mergeServers(m_directory, { entry("s1", { 1, 10 }), entry("s2", { 1, 11 }) }, { 1, 20 }, m_now);
    m_now += 10s;
    Forward::mergeServers(m_directory, { entry("s1", { 2, 10 }), entry("s2", { 2, 11 }) }, { 2, 20 }, m_now);
    m_now += 1s;
    Forward::unregisterServer(m_directory, "s1", m_now);
    m_now += 3s;
    EXPECT_EQ(inUse(), 1u);
    Forward::mergeServers(m_directory, { entry("s1", { 3, 10 }), entry("s2", { 3, 11 }) }, { 3, 20 }, m_now);
    EXPECT_EQ(inUse(), 1u);
}

// Guards against requests for the former process of a server that started again shortly before the restoration.
TEST_F(ServerDirectoryTest, RestoredStoreDoesNotBringBackAnEarlierIncarnation)
{
    auto const entry = [](Core::StoreRevision revision, std::uint64_t incarnation) { return Routing::ListedServer { .id = "s1", .service = "model", .incarnation = incarnation, .revision = revision }; };
    Forward::mergeServers(m_directory, { entry({ 1, 10 }, 1000) }, { 1, 20 }, m_now);
    Forward::registerServer(m_directory, entry({ 1, 25 }, 2000), m_now);
    m_now += 3s;
    Forward::mergeServers(m_directory, { entry({ 2, 10 }, 1000) }, { 2, 20 }, m_now);
    EXPECT_EQ(m_directory.entries.at("s1").server.incarnation, 2000u);
}

// Guards against a server that stated that it is leaving and is used again: after an outage of the store in which its entry expired, or because
// of the statement of an earlier incarnation.
TEST_F(ServerDirectoryTest, StatementToLeaveHoldsForItsIncarnationOnly)
{
    Routing::ListedServer const server { .id = "s0", .service = "model", .incarnation = 10 };
    Forward::registerServer(m_directory, server, m_now);
    EXPECT_FALSE(Forward::recordLeaving(m_directory, "s0", 9));
    EXPECT_FALSE(Forward::recordLeaving(m_directory, "unknown", 10));
    EXPECT_EQ(m_directory.entries.at("s0").server.lifecycle, Routing::Lifecycle::Live);
    EXPECT_TRUE(Forward::recordLeaving(m_directory, "s0", 10));
    EXPECT_FALSE(Forward::recordLeaving(m_directory, "s0", 10));
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::unregisterServer(m_directory, "s0", m_now);
    EXPECT_EQ(inUse(), 5u);
    Forward::registerServer(m_directory, server, m_now);
    EXPECT_EQ(m_directory.entries.at("s0").server.lifecycle, Routing::Lifecycle::Leaving);
    Forward::registerServer(m_directory, { .id = "s0", .service = "model", .incarnation = 11 }, m_now);
    EXPECT_EQ(m_directory.entries.at("s0").server.lifecycle, Routing::Lifecycle::Live);
}

// Guards against new work at other nodes for a server that stated that it is leaving, and against reports that name it for ever.
TEST_F(ServerDirectoryTest, StatementsOfOtherNodesHoldUntilTheEntrySaysSo)
{
    Routing::ListedServer server { .id = "s0", .service = "model", .incarnation = 10 };
    Forward::registerServer(m_directory, server, m_now);
    auto other = m_directory;
    EXPECT_TRUE(Forward::leavingServersToReport(m_directory).empty());
    (void)Forward::recordLeaving(m_directory, "s0", 10);
    auto const reported = Forward::leavingServersToReport(m_directory);
    EXPECT_EQ(reported, (std::vector<Forward::LeavingServer> { { Forward::hashId("s0"), 10 } }));
    EXPECT_TRUE(Forward::mergeLeavingServers(other, { { Forward::hashId("s0"), 9 }, { Forward::hashId("s9"), 10 } }).empty());
    EXPECT_EQ(Forward::mergeLeavingServers(other, reported), std::vector<std::string> { "s0" });
    EXPECT_TRUE(Forward::mergeLeavingServers(other, reported).empty());
    EXPECT_EQ(other.entries.at("s0").server.lifecycle, Routing::Lifecycle::Leaving);
    EXPECT_EQ(Forward::leavingServersToReport(other), reported);
    server.lifecycle = Routing::Lifecycle::Leaving;
    Forward::registerServer(m_directory, server, m_now);
    EXPECT_TRUE(Forward::leavingServersToReport(m_directory).empty());
    Forward::unregisterServer(other, "s0", m_now);
    m_now += 2s;
    (void)Forward::serversInUse(other, m_now);
    EXPECT_TRUE(Forward::leavingServersToReport(other).empty());
}
