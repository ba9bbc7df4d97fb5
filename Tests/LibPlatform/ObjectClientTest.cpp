#include <LibPlatform/ObjectClient.h>
#include <LibPlatform/PlatformServer.h>
#include <algorithm>

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;
using Platform::ObjectKey;

namespace {

ObjectKey const key { "intents", "b.1" };

class ObjectClientTest : public PlatformServer {
protected:
    std::optional<Core::StoreRevision> update(std::chrono::milliseconds time = 10s)
    {
        return m_loop.run(m_store.update(key, R"({"a":1})", { 0, 3 }, deadlineAfter(time), m_error));
    }

    std::optional<Platform::ObjectChanges> waitForChanges(std::chrono::milliseconds time = 10s)
    {
        return m_loop.run(m_store.waitForChanges("intents", { 0, 4 }, deadlineAfter(time), m_error));
    }

    Platform::ObjectClient m_store { m_loop.runtime(), m_client, m_endpoint };
};

}

TEST_F(ObjectClientTest, EncodesRequestsAndDecodesResponses)
{
    respondWith(200, R"({"kind":"intents","name":"b.1","resourceVersion":7,"value":{"a":[1,"x"]}})");
    auto const object = m_loop.run(m_store.read(key, deadlineAfter(10s), m_error));
    EXPECT_EQ(object, (Platform::StoredObject { key, { 0, 7 }, R"({"a":[1,"x"]})" }));
    respondWith(200, R"({"resourceVersion":9,"items":[{"kind":"intents","name":"b.1","resourceVersion":7,"value":null}]})");
    auto const list = m_loop.run(m_store.list("intents", deadlineAfter(10s), m_error));
    EXPECT_EQ(list, (Platform::ObjectList { { { key, { 0, 7 }, "null" } }, { 0, 9 } }));
    respondWith(201, R"({"resourceVersion":10})");
    EXPECT_EQ(m_loop.run(m_store.create(key, "[1]", deadlineAfter(10s), m_error)), (Core::StoreRevision { 0, 10 }));
    EXPECT_EQ(update(), (Core::StoreRevision { 0, 10 }));
    EXPECT_TRUE(m_loop.run(m_store.remove(key, { 0, 10 }, deadlineAfter(10s), m_error)));
    std::vector<std::string> calls;
    for (auto const& request : m_requests)
        calls.push_back(request.method + " " + request.target + " " + request.body);
    EXPECT_EQ(calls, (std::vector<std::string> { "GET /objects/intents/b.1 ", "GET /objects/intents ", R"(POST /objects/intents/b.1 {"value":[1]})", R"(PUT /objects/intents/b.1 {"resourceVersion":3,"value":{"a":1}})", "DELETE /objects/intents/b.1?resourceVersion=10 " }));
}

// Guards against a write that took effect being reported as not run, which leads to a second execution.
TEST_F(ObjectClientTest, RunStateOfFailedWrites)
{
    struct Case {
        unsigned status;
        std::string body;
        Delivery delivery;
        ErrorKind kind;
        RunState runState;
    };
    std::vector<Case> const cases {
        { 404, "{}", Delivery::Complete, ErrorKind::StoreConflict, RunState::NotRun },
        { 409, "{}", Delivery::Complete, ErrorKind::StoreConflict, RunState::NotRun },
        { 413, "{}", Delivery::Complete, ErrorKind::StoreValueTooLarge, RunState::NotRun },
        { 429, "{}", Delivery::Complete, ErrorKind::StoreUnavailable, RunState::NotRun },
        { 503, "{}", Delivery::Complete, ErrorKind::StoreUnavailable, RunState::NotRun },
        { 500, "{}", Delivery::Complete, ErrorKind::StoreUnavailable, RunState::Unknown },
        { 504, "{}", Delivery::Complete, ErrorKind::StoreUnavailable, RunState::Unknown },
        { 200, "{", Delivery::Complete, ErrorKind::StoreUnavailable, RunState::Unknown },
        { 200, "{}", Delivery::Complete, ErrorKind::StoreUnavailable, RunState::Unknown },
        { 200, R"({"resourceVersion":10})", Delivery::Truncated, ErrorKind::StoreUnavailable, RunState::Unknown },
        { 503, "{}", Delivery::Truncated, ErrorKind::StoreUnavailable, RunState::Unknown },
    };
    for (auto const& expected : cases) {
        respondWith(expected.status, expected.body, expected.delivery);
        EXPECT_FALSE(update());
        EXPECT_EQ(m_error.kind, expected.kind) << expected.status << expected.body;
        EXPECT_EQ(m_error.runState, expected.runState) << expected.status << expected.body;
    }
    respondWith(200, {}, Delivery::None);
    EXPECT_FALSE(update(50ms));
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    auto const sent = m_requests.size();
    EXPECT_FALSE(update(-1ms));
    EXPECT_EQ(m_error.runState, RunState::NotRun);
    EXPECT_EQ(m_requests.size(), sent);
    m_server.closeAllConnections();
    EXPECT_FALSE(update());
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
    EXPECT_EQ(m_error.runState, RunState::NotRun);
}

// Guards against a write on a pooled connection, which the HTTP client may send twice; the second one would conflict with the
// first and be reported as not run.
TEST_F(ObjectClientTest, WritesUseNewConnections)
{
    respondWith(200, R"({"resourceVersion":9,"items":[]})");
    for (int round = 0; round < 2; ++round) {
        EXPECT_TRUE(m_loop.run(m_store.list("intents", deadlineAfter(10s), m_error)));
        EXPECT_TRUE(update());
    }
    ASSERT_EQ(m_peers.size(), 4u);
    for (std::size_t const write : { 1, 3 })
        EXPECT_EQ(std::count(m_peers.begin(), m_peers.begin() + write, m_peers[write]), 0);
    // The second list reuses a connection.
    EXPECT_EQ((std::set<Core::Endpoint> { m_peers.begin(), m_peers.end() }).size(), 3u);
}

TEST_F(ObjectClientTest, RefusesLargeValuesBeforeSending)
{
    std::string const value(Platform::maximumValueBytes + 1, '1');
    EXPECT_FALSE(m_loop.run(m_store.create(key, value, deadlineAfter(10s), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreValueTooLarge);
    EXPECT_EQ(m_error.runState, RunState::NotRun);
    EXPECT_TRUE(m_requests.empty());
}

// Guards against returning an object other than the requested one.
TEST_F(ObjectClientTest, RefusesWrongOrMalformedObjects)
{
    for (std::string const body : { R"({"kind":"intents","name":"b.2","resourceVersion":7,"value":1})", R"({"kind":"intents","name":"b.1","value":1})", "[]", "" }) {
        respondWith(200, body);
        EXPECT_FALSE(m_loop.run(m_store.read(key, deadlineAfter(10s), m_error))) << body;
        EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
    }
    respondWith(404, "{}");
    EXPECT_FALSE(m_loop.run(m_store.read(key, deadlineAfter(10s), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::NotFound);
}

TEST_F(ObjectClientTest, WatchReturnsChanges)
{
    std::string const put = R"({"type":"PUT","object":{"kind":"intents","name":"b.1","resourceVersion":5,"value":1}})";
    std::string const removed = R"({"type":"REMOVED","object":{"kind":"intents","name":"b.1","resourceVersion":6,"value":1}})";
    respondWith(200, put + "\n" + removed + "\n");
    std::vector<Platform::ObjectEvent> const expected { { Platform::ObjectEventKind::Put, { key, { 0, 5 }, "1" } }, { Platform::ObjectEventKind::Removed, { key, { 0, 6 }, "1" } } };
    EXPECT_EQ(waitForChanges(), (Platform::ObjectChanges { expected, { 0, 6 } }));
    EXPECT_EQ(m_requests.back().path(), "/watch/intents");
    EXPECT_EQ(m_requests.back().queryParameter("resourceVersion"), "4");
    respondWith(200, "");
    EXPECT_EQ(waitForChanges(), (Platform::ObjectChanges { {}, { 0, 4 } }));
    // A truncated event is an error.
    respondWith(200, put.substr(0, 40), Delivery::Truncated);
    EXPECT_FALSE(waitForChanges());
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
    respondWith(410, "{}");
    EXPECT_FALSE(waitForChanges());
    EXPECT_EQ(m_error.kind, ErrorKind::StoreVersionExpired);
}

// Guards against an unreachable platform being mistaken for one without changes.
TEST_F(ObjectClientTest, WatchWithoutEndFails)
{
    respondWith(200, {}, Delivery::None);
    EXPECT_FALSE(waitForChanges(50ms));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
}
