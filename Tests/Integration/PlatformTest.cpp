#include <LibHTTP/Client.h>
#include <LibPlatform/CloudClient.h>
#include <LibPlatform/ObjectClient.h>
#include <Support/BlockingCall.h>
#include <Support/ChildProcess.h>
#include <Support/StandInSwitches.h>
#include <Support/WaitUntil.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;
using Platform::ObjectKey;
using TestSupport::ChildProcess;

namespace {

ObjectKey const key { "leases", "fleet" };
std::string const anyPort = "127.0.0.1:0";

// Runs the platform stand-in behind the fault proxy, and LibPlatform's clients that reach it through the proxy.
class PlatformTest : public testing::Test {
protected:
    // Guards against stand-ins that do not stop, or that crash when they stop with calls in progress.
    void TearDown() override
    {
        EXPECT_EQ(m_proxy.stop(), 0);
        EXPECT_EQ(m_platform.stop(), 0);
    }

    std::optional<Core::StoreRevision> update(std::string value, Core::StoreRevision version, std::chrono::milliseconds time = TestSupport::defaultTestTimeout)
    {
        return m_loop.run(m_store.update(key, std::move(value), version, m_loop.runtime().now() + time, m_error));
    }

    std::optional<Platform::StoredObject> read()
    {
        return m_loop.run(m_store.read(key, m_loop.deadline(), m_error));
    }

    std::optional<std::vector<Platform::Host>> hosts()
    {
        return m_loop.run(m_cloud.hosts(m_loop.deadline(), m_error));
    }

    ChildProcess m_platform { { STAND_IN_BINARY, "platform", "--history_per_kind=3" } };
    ChildProcess m_proxy { { STAND_IN_BINARY, "proxy", "--listen=" + anyPort + "," + anyPort, "--target=" + m_platform.endpoint("platform").toString() + ",127.0.0.1:1" } };
    TestSupport::PlatformSwitches m_platformSwitches { m_platform.endpoint("platform") };
    TestSupport::ProxySwitches m_proxySwitches { m_proxy.endpoint("control") };
    TestSupport::EventLoop m_loop;
    HTTP::Client m_client { m_loop.runtime(), {} };
    Platform::ObjectClient m_store { m_loop.runtime(), m_client, m_proxy.endpoint("proxy0") };
    Platform::CloudClient m_cloud { m_loop.runtime(), m_client, m_proxy.endpoint("proxy0") };
    Core::Error m_error;
};

}

// Guards against run states that contradict what the platform executed.
TEST_F(PlatformTest, UpdatesThroughFaults)
{
    auto version = m_loop.run(m_store.create(key, "0", m_loop.deadline(), m_error));
    ASSERT_TRUE(version) << m_error.message;

    // The proxy or the platform drops the response to a write that took effect.
    m_proxySwitches.setFaults({ .dropAnswers = 1 }, 0);
    EXPECT_FALSE(update("1", *version));
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    auto object = read();
    ASSERT_TRUE(object) << m_error.message;
    EXPECT_EQ(object->value, "1");
    m_platformSwitches.setFaults({ .dropWriteAnswers = 1 });
    EXPECT_FALSE(update("2", object->resourceVersion));
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    object = read();
    ASSERT_TRUE(object) << m_error.message;
    EXPECT_EQ(object->value, "2");

    m_proxySwitches.setFaults({ .cut = true });
    EXPECT_FALSE(update("3", object->resourceVersion));
    EXPECT_EQ(m_error.runState, RunState::NotRun);
    EXPECT_FALSE(read());
    m_proxySwitches.clearFaults();
    EXPECT_EQ(read(), object);

    // The deadline passes while the response is in flight.
    m_proxySwitches.setFaults({ .freezeFromTarget = true });
    EXPECT_FALSE(update("4", object->resourceVersion, 300ms));
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    m_proxySwitches.setFaults({ .delayMs = 50 });
    auto const begin = m_loop.runtime().now();
    object = read();
    ASSERT_TRUE(object) << m_error.message;
    EXPECT_EQ(object->value, "4");
    EXPECT_GE(m_loop.runtime().now() - begin, 100ms);

    m_proxySwitches.setFaults({ .truncateAfterBytes = 20 });
    EXPECT_FALSE(read());
    m_proxySwitches.clearFaults();
    EXPECT_FALSE(update("5", *version));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreConflict);
    std::vector<std::string> operations;
    for (auto const& write : m_platformSwitches.acceptedWrites())
        operations.push_back(write.operation);
    EXPECT_EQ(operations, (std::vector<std::string> { "create", "update", "update", "update" }));
}

// Guards against a proxy that forwards a frozen request after its link was cut and the client has given up.
TEST_F(PlatformTest, FrozenRequestIsLostWithTheLink)
{
    auto const version = m_loop.run(m_store.create(key, "0", m_loop.deadline(), m_error));
    ASSERT_TRUE(version) << m_error.message;
    m_proxySwitches.setFaults({ .freezeToTarget = true });
    EXPECT_FALSE(update("1", *version, 100ms));
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    m_proxySwitches.setFaults({ .cut = true });
    m_proxySwitches.clearFaults();
    EXPECT_EQ(update("2", *version), (Core::StoreRevision { 0, version->number + 1 }));
}

TEST_F(PlatformTest, WatchesAndLimits)
{
    auto const waitForChanges = [this](Core::StoreRevision version, std::chrono::milliseconds time) {
        return m_loop.run(m_store.waitForChanges("leases", version, m_loop.runtime().now() + time, m_error));
    };
    Core::StoreRevision version;
    for (int round = 0; round < 4; ++round) {
        auto const next = round == 0 ? m_loop.run(m_store.create(key, "0", m_loop.deadline(), m_error)) : update(std::to_string(round), version);
        ASSERT_TRUE(next) << m_error.message;
        version = *next;
    }
    // --history_per_kind=3 limits the history to three changes.
    EXPECT_FALSE(waitForChanges({}, 10s));
    EXPECT_EQ(m_error.kind, ErrorKind::StoreVersionExpired);
    auto const changes = waitForChanges({ 0, 1 }, 10s);
    ASSERT_TRUE(changes) << m_error.message;
    EXPECT_EQ(changes->events.size(), 3u);
    auto const none = waitForChanges(version, 200ms);
    ASSERT_TRUE(none) << m_error.message;
    EXPECT_TRUE(none->events.empty());
    EXPECT_EQ(m_platformSwitches.callCount("watch"), 3u);

    m_platformSwitches.setFaults({ .readsPerSecond = 1 });
    EXPECT_TRUE(read());
    EXPECT_FALSE(read());
    EXPECT_EQ(m_error.kind, ErrorKind::StoreUnavailable);
    EXPECT_TRUE(m_error.retryAfter);
    m_platformSwitches.setFaults({ .down = true });
    EXPECT_FALSE(update("9", version));
    EXPECT_EQ(m_error.runState, RunState::NotRun);
    m_platformSwitches.setFaults({ .slowMs = 100 });
    EXPECT_FALSE(update("9", version, 30ms));
    EXPECT_EQ(m_error.runState, RunState::Unknown);
    // A slow write takes effect after the client has given up.
    EXPECT_TRUE(TestSupport::waitUntil([&] { return m_platformSwitches.acceptedWrites().size() == 5; }));
}

TEST_F(PlatformTest, HostsNoticesAndStarts)
{
    Platform::Host host { "h1", Platform::HostRole::Backend, { "127.0.0.1", 7000 }, "advisor", "1", "dc1", "zone1", "large", true, Platform::HostState::Live, 1 };
    auto onDemand = host;
    onDemand.id = "h2";
    onDemand.reclaimable = false;
    m_platformSwitches.registerHosts({ host, onDemand });
    EXPECT_EQ(hosts(), (std::vector { host, onDemand }));
    m_platformSwitches.setFaults({ .hostListLagMs = 60'000, .refuseHostStarts = true });
    EXPECT_EQ(hosts(), std::vector<Platform::Host> {});
    Platform::HostRequest request { "advisor", "dc1", "zone1", "large", true };
    EXPECT_FALSE(m_loop.run(m_cloud.startHost(request, m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::NoServerAvailable);
    m_platformSwitches.setFaults({});
    EXPECT_EQ(m_loop.run(m_cloud.startHost(request, m_loop.deadline(), m_error)), "started-1");

    // Only the reclaimable host of the zone gets a notice, and it is removed when the notice has passed.
    EXPECT_EQ(m_platformSwitches.reclaim({ {}, "zone1", "", 200ms }), (std::vector<std::string> { "h1" }));
    auto const notices = m_loop.run(m_cloud.waitForNotices(0, m_loop.deadline(), m_error));
    ASSERT_TRUE(notices) << m_error.message;
    ASSERT_EQ(notices->notices.size(), 1u);
    EXPECT_EQ(notices->notices[0].hostId, "h1");
    EXPECT_TRUE(TestSupport::waitUntil([&] { return hosts() == std::vector { onDemand }; }));
    EXPECT_TRUE(m_loop.run(m_cloud.stopHost("h2", m_loop.deadline(), m_error)));
    EXPECT_FALSE(m_loop.run(m_cloud.stopHost("h2", m_loop.deadline(), m_error)));
    EXPECT_EQ(m_error.kind, ErrorKind::NotFound);
}

// Guards against weights that are served faster than the configured rate. 2 MB at 5 MB/s take 400 ms.
TEST_F(PlatformTest, WeightsShareTheRate)
{
    m_platformSwitches.setFaults({ .weightsBytesPerSecond = 5'000'000 });
    auto const begin = std::chrono::steady_clock::now();
    for (std::string const name : { "a", "b" })
        EXPECT_EQ(TestSupport::callStandIn(m_platform.endpoint("platform"), "GET", "/weights/" + name).at("bytes"), 1'000'000);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 400ms);
}
