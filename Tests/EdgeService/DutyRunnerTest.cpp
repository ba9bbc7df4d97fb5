#include <Edge/DutyRunner.h>
#include <Support/BlockingCall.h>
#include <Support/MemoryObjectStore.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

// Responds to each call after a delay.
class SlowDutyApi final : public Forward::DutyApi {
public:
    explicit SlowDutyApi(Core::Runtime& runtime)
        : m_runtime(runtime)
    {
    }

    Core::Awaitable<bool> reportUsage(Forward::LeaseCredentials, std::int64_t, Forward::TeamCounts, Core::MonotonicTime, Core::Error&) override
    {
        ++started;
        co_await m_runtime.sleepFor(300ms);
        ++finished;
        co_return true;
    }

    Core::Awaitable<bool> orderServers(Forward::LeaseCredentials, Forward::ServerOrder, Core::MonotonicTime, Core::Error&) override { co_return true; }

    unsigned started { 0 };
    unsigned finished { 0 };

private:
    Core::Runtime& m_runtime;
};

}

// Guards against a call that reaches the platform after one of the next holder: the lease was released while the call was in flight.
TEST(DutyRunnerTest, LeaseIsReleasedAfterTheLastCall)
{
    TestSupport::EventLoop loop;
    auto& runtime = loop.runtime();
    Core::Random random(1);
    Core::Metrics metrics;
    TestSupport::MemoryObjectStore store(runtime, random);
    SlowDutyApi api(runtime);
    Edge::EdgeTables tables(runtime);
    Edge::EdgeSettings settings;
    settings.nodeId = "n1";
    settings.isFirstStart = true;
    settings.reportsUsage = true;
    auto const unixTime = std::chrono::duration_cast<std::chrono::milliseconds>(runtime.wallNow().time_since_epoch());
    auto const currentWindow = Forward::usageWindow(unixTime.count(), settings.usageWindow.count());
    Forward::mergeCounts(tables.usage, "n2", 1, { { currentWindow - 2, { { "team", 1 } } } });
    Edge::DutyRunner runner(runtime, store, &api, tables, settings, random, metrics);
    runner.start();
    auto const holder = [&] {
        Core::Error error;
        return Fleet::decodeLease(store.objects().objects.at({ "leases", "duties" }).value, error).value().holder;
    };
    auto const deadline = loop.deadline();
    auto stopDuringACall = [&]() -> Core::Awaitable<bool> {
        while (api.started == 0 && runtime.now() < deadline)
            co_await runtime.sleepFor(5ms);
        co_await runner.stop();
        co_return api.started == 1 && api.finished == 1;
    };
    EXPECT_TRUE(loop.run(stopDuringACall()));
    EXPECT_EQ(holder(), "");
}
