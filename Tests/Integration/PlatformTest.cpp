#include <Support/ChildProcess.h>
#include <Support/StandInSwitches.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using TestSupport::callStandIn;
using TestSupport::ChildProcess;

// Guards against a stand-in that does not stop on SIGTERM, or that keeps reclaimed hosts.
TEST(PlatformTest, HostsAndGracefulStop)
{
    ChildProcess platform({ STAND_IN_BINARY, "platform" });
    auto const endpoint = platform.endpoint("platform");
    TestSupport::PlatformSwitches const switches(endpoint);
    Platform::Host host { "h1", Platform::HostRole::Backend, { "127.0.0.1", 7000 }, "advisor", "1", "dc1", "zone1", "large", true, Platform::HostState::Live, 1 };
    switches.registerHosts({ host });
    EXPECT_EQ(callStandIn(endpoint, "GET", "/cloud/hosts").at("hosts").as_array().size(), 1u);
    EXPECT_EQ(switches.reclaim({ {}, "zone1", "", 60s }), (std::vector<std::string> { "h1" }));
    EXPECT_EQ(callStandIn(endpoint, "GET", "/cloud/hosts").at("hosts").at(0).at("state").as_string(), "leaving");
    EXPECT_EQ(callStandIn(endpoint, "GET", "/cloud/notices?after=0&timeoutMs=30000").at("notices").as_array().size(), 1u);
    EXPECT_EQ(platform.stop(), 0);
}
