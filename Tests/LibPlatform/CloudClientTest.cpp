#include <LibPlatform/CloudClient.h>
#include <LibPlatform/PlatformServer.h>
#include <boost/json/serialize.hpp>

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;

namespace {

Platform::Host const host { "h1", Platform::HostRole::Entry, { "127.0.0.1", 7000 }, "advisor", "2", "dc1", "zone1", "large", true, Platform::HostState::Leaving, 4 };

class CloudClientTest : public PlatformServer {
protected:
    std::optional<std::string> start()
    {
        Platform::HostRequest request { "advisor", "dc1", "zone1", "large", true };
        return m_loop.run(m_cloud.startHost(std::move(request), deadlineAfter(10s), m_error));
    }

    Platform::CloudClient m_cloud { m_loop.runtime(), m_client, m_endpoint };
};

}

TEST_F(CloudClientTest, EncodesRequestsAndDecodesResponses)
{
    respondWith(200, R"({"hosts":[)" + boost::json::serialize(Platform::toJson(host)) + "]}");
    EXPECT_EQ(m_loop.run(m_cloud.hosts(deadlineAfter(10s), m_error)), std::vector<Platform::Host> { host });
    respondWith(201, R"({"id":"h2"})");
    EXPECT_EQ(start(), "h2");
    EXPECT_EQ(m_requests.back().body, R"({"service":"advisor","dataCentre":"dc1","zone":"zone1","machineClass":"large","reclaimable":true})");
    EXPECT_TRUE(m_loop.run(m_cloud.stopHost("h2", deadlineAfter(10s), m_error)));
    EXPECT_EQ(m_requests.back().method + " " + m_requests.back().target, "DELETE /cloud/hosts/h2");
    respondWith(200, R"({"notices":[{"sequence":3,"hostId":"h1","reclaimAtMs":1700000000000}],"sequence":3})");
    Platform::NoticeList const expected { { { 3, "h1", 1700000000000 } }, 3 };
    EXPECT_EQ(m_loop.run(m_cloud.waitForNotices(2, deadlineAfter(10s), m_error)), expected);
    EXPECT_EQ(m_requests.back().queryParameter("after"), "2");
}

// Guards against a second host being started, and paid for, after a lost response.
TEST_F(CloudClientTest, RunStateOfFailedStarts)
{
    respondWith(409, "{}");
    EXPECT_FALSE(start());
    EXPECT_EQ(m_error.kind, ErrorKind::NoServerAvailable);
    EXPECT_EQ(m_error.runState, RunState::NotRun);
    respondWith(201, R"({"id":"h2"})", Delivery::Truncated);
    EXPECT_FALSE(start());
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    EXPECT_EQ(m_requests.size(), 2u);
}

// Guards against accepting a host list with a malformed entry.
TEST_F(CloudClientTest, RefusesMalformedHosts)
{
    auto row = Platform::toJson(host);
    row["state"] = "unheard-of";
    respondWith(200, R"({"hosts":[)" + boost::json::serialize(row) + "]}");
    EXPECT_FALSE(m_loop.run(m_cloud.hosts(deadlineAfter(10s), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
}
