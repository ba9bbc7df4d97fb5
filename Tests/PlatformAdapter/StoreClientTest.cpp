#include <EdgeService/RawServer.h>
#include <EdgeService/StoreStandIn.h>
#include <Support/BlockingCall.h>
#include <gtest/gtest.h>
#include <platform/StoreClient.h>

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;

namespace {

class StoreClientTest : public testing::Test {
protected:
    Platform::ObjectKey const m_key { "leases", "duties" };
    TestSupport::EventLoop m_loop;
    StandIns::StoreStandIn m_standIn { m_loop.runtime() };
    HTTP::Client m_client { m_loop.runtime(), {} };
    PlatformAdapter::StoreClient m_store { m_loop.runtime(), m_client, m_standIn.start() };
    Core::Error m_error;
};

}

TEST_F(StoreClientTest, WritesAreConditional)
{
    auto const created = m_loop.run(m_store.create(m_key, R"({"a":1})", m_loop.deadline(), m_error));
    ASSERT_TRUE(created) << m_error.message;
    EXPECT_FALSE(m_loop.run(m_store.create(m_key, "2", m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreConflict);
    EXPECT_EQ(m_loop.run(m_store.read(m_key, m_loop.deadline(), m_error)), (Platform::StoredObject { m_key, *created, R"({"a":1})" }));
    auto const updated = m_loop.run(m_store.update(m_key, "3", *created, m_loop.deadline(), m_error));
    ASSERT_TRUE(updated) << m_error.message;
    EXPECT_FALSE(m_loop.run(m_store.update(m_key, "4", *created, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreConflict);
    EXPECT_EQ(m_error.runState, RunState::NotRun);
    EXPECT_FALSE(m_loop.run(m_store.read({ "leases", "other" }, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::NotFound);
}

// Guards against a status that is written over that of a later order, or that changes the order itself.
TEST_F(StoreClientTest, StatusIsWrittenConditionallyBesideTheValue)
{
    auto const created = m_loop.run(m_store.create(m_key, R"({"a":1})", m_loop.deadline(), m_error));
    ASSERT_TRUE(created) << m_error.message;
    auto const written = m_loop.run(m_store.updateStatus(m_key, R"({"state":"running"})", *created, m_loop.deadline(), m_error));
    ASSERT_TRUE(written) << m_error.message;
    EXPECT_EQ(m_loop.run(m_store.read(m_key, m_loop.deadline(), m_error)), (Platform::StoredObject { m_key, *written, R"({"a":1})", R"({"state":"running"})" }));
    EXPECT_FALSE(m_loop.run(m_store.updateStatus(m_key, "{}", *created, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreConflict);
    EXPECT_FALSE(m_loop.run(m_store.updateStatus({ "leases", "other" }, "{}", *created, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreConflict);
}

// Guards against ignoring servers on later pages of a list.
TEST_F(StoreClientTest, ListsAllPages)
{
    for (int i = 0; i < 5; ++i)
        m_standIn.put("servers", "s" + std::to_string(i), "{}");
    auto const list = m_loop.run(m_store.list("servers", m_loop.deadline(), m_error));
    ASSERT_TRUE(list) << m_error.message;
    EXPECT_EQ(list->objects.size(), 5u);
    EXPECT_EQ(list->resourceVersion.number, 5u);
}

// Guards against ignoring servers on the pages after an entry of another writer whose name needs encoding.
TEST_F(StoreClientTest, ListsThePagesAfterAnEntryWithAnOddName)
{
    for (auto const* name : { "a", "b c&wait-ms=1#%\xc3\xa9\r\n", "c", "d" })
        m_standIn.put("servers", name, "{}");
    auto const list = m_loop.run(m_store.list("servers", m_loop.deadline(), m_error));
    ASSERT_TRUE(list) << m_error.message;
    EXPECT_EQ(list->objects.size(), 4u);
}

// Guards against a list that lacks the pages after one without a readable entry, and a watch that fails because of one event.
TEST_F(StoreClientTest, UnreadableEntriesAndEventsAreSkipped)
{
    StandIns::RawServer server(m_loop.runtime(), [](std::string const& request) {
        std::string body = R"({"items":[7,{"metadata":{"name":"a"}},{}],"more-pages":true,"store-revision":5})";
        if (request.find("after=a ") != std::string::npos)
            body = R"({"items":[{"metadata":{"name":"b","revision":4},"spec":1}],"more-pages":false,"store-revision":5})";
        if (request.find("watch=5&") != std::string::npos)
            body = R"({"events":[null,{"deleted":1,"object":{}},{"deleted":false,"object":{"metadata":{"name":"c","revision":6},"spec":2}}],"store-revision":7})";
        return StandIns::RawServer::Reply { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    });
    PlatformAdapter::StoreClient store(m_loop.runtime(), m_client, server.endpoint());
    auto const list = m_loop.run(store.list("servers", m_loop.deadline(), m_error));
    ASSERT_TRUE(list) << m_error.message;
    EXPECT_EQ(list->objects, (std::vector<Platform::StoredObject> { { { "servers", "b" }, { 0, 4 }, "1" } }));
    auto const changes = m_loop.run(store.waitForChanges("servers", { 0, 5 }, m_loop.deadline(), m_error));
    ASSERT_TRUE(changes) << m_error.message;
    EXPECT_EQ(changes->events, (std::vector<Platform::ObjectEvent> { { Platform::ObjectEventKind::Put, { { "servers", "c" }, { 0, 6 }, "2" } } }));
    EXPECT_EQ(changes->resourceVersion.number, 7u);
}

TEST_F(StoreClientTest, WatchesContinueFromTheStoresRevision)
{
    m_standIn.put("servers", "s", "{}");
    m_standIn.put("config", "main", "{}");
    auto changes = m_loop.run(m_store.waitForChanges("servers", { 1, 0 }, m_loop.deadline(), m_error));
    ASSERT_TRUE(changes) << m_error.message;
    EXPECT_EQ(changes->events.size(), 1u);
    // Changes of other kinds advance the revision, so that the next watch does not start at a revision that has expired.
    EXPECT_EQ(changes->resourceVersion.number, 2u);
    changes = m_loop.run(m_store.waitForChanges("servers", { 1, 2 }, m_loop.runtime().now() + 100ms, m_error));
    ASSERT_TRUE(changes) << m_error.message;
    EXPECT_TRUE(changes->events.empty());
    m_standIn.oldestRevision = 2;
    EXPECT_FALSE(m_loop.run(m_store.waitForChanges("servers", { 1, 1 }, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreVersionExpired);
}

// Guards against calls that take a revision of a restored store for the one with the same number before.
TEST_F(StoreClientTest, RevisionsOfAnEarlierEraAreNotContinuedFrom)
{
    auto const copy = m_standIn.objects();
    auto const before = m_loop.run(m_store.create(m_key, "1", m_loop.deadline(), m_error));
    ASSERT_EQ(before, (Core::StoreRevision { 1, 1 })) << m_error.message;
    m_standIn.restore(copy);
    m_standIn.put(m_key.kind, m_key.name, "2");
    EXPECT_EQ(m_loop.run(m_store.read(m_key, m_loop.deadline(), m_error)), (Platform::StoredObject { m_key, { 2, 1 }, "2" }));
    EXPECT_EQ(m_store.era(), 2u);
    EXPECT_FALSE(m_loop.run(m_store.waitForChanges(m_key.kind, *before, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreVersionExpired);
    EXPECT_FALSE(m_loop.run(m_store.update(m_key, "3", *before, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreConflict);
    // The store itself compares numbers only.
    EXPECT_EQ(m_error.runState, RunState::Ran);
}

// Guards against a late response of an earlier era that replaces what the restored store said.
TEST_F(StoreClientTest, ResponsesOfAnEarlierEraAreRefused)
{
    unsigned era = 3;
    StandIns::RawServer server(m_loop.runtime(), [&](std::string const&) {
        return StandIns::RawServer::Reply { "HTTP/1.1 404 -\r\nStore-Era: " + std::to_string(era--) + "\r\nContent-Length: 0\r\n\r\n" };
    });
    PlatformAdapter::StoreClient store(m_loop.runtime(), m_client, server.endpoint());
    EXPECT_FALSE(m_loop.run(store.read(m_key, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::NotFound);
    EXPECT_FALSE(m_loop.run(store.read(m_key, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
    EXPECT_EQ(store.era(), 3u);
}

// Guards against a watch that goes on from a revision of a store that has returned from a copy since, and so misses changes.
TEST_F(StoreClientTest, RestoredStoreAcceptsNoWatchFromBefore)
{
    m_standIn.put("servers", "s", "{}");
    auto const copy = m_standIn.objects();
    m_standIn.put("servers", "t", "{}");
    auto const before = m_loop.run(m_store.list("servers", m_loop.deadline(), m_error));
    ASSERT_TRUE(before) << m_error.message;
    m_standIn.restore(copy);
    EXPECT_FALSE(m_loop.run(m_store.waitForChanges("servers", before->resourceVersion, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreVersionExpired);
    // Also once the number is assigned again.
    m_standIn.put("servers", "u", "{}");
    EXPECT_FALSE(m_loop.run(m_store.waitForChanges("servers", before->resourceVersion, m_loop.runtime().now() + 100ms, m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreVersionExpired);
    auto const after = m_loop.run(m_store.list("servers", m_loop.deadline(), m_error));
    ASSERT_TRUE(after) << m_error.message;
    EXPECT_EQ(after->resourceVersion, (Core::StoreRevision { before->resourceVersion.era + 1, before->resourceVersion.number }));
}

TEST_F(StoreClientTest, RefusedCallsAreReportedAsNotRun)
{
    for (unsigned const status : { 429U, 503U }) {
        m_standIn.forcedStatus = status;
        EXPECT_FALSE(m_loop.run(m_store.create(m_key, "1", m_loop.deadline(), m_error)));
        EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
        EXPECT_EQ(m_error.runState, RunState::NotRun);
    }
}
