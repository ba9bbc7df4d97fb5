#include <Support/BlockingCall.h>
#include <Support/ChildProcess.h>
#include <Support/StandInSwitches.h>
#include <Support/WaitUntil.h>
#include <array>
#include <csignal>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

using TestSupport::ChildProcess;

// Guards against processes that keep running when the test program is killed.
TEST(ChildProcessTest, DiesWithTheTestProgram)
{
    std::array<int, 2> channel {};
    ASSERT_EQ(pipe(channel.data()), 0);
    auto const tester = fork();
    if (tester == 0) {
        ChildProcess platform({ STAND_IN_BINARY, "platform" });
        auto const text = platform.endpoint("platform").toString();
        (void)!write(channel[1], text.data(), text.size());
        while (true)
            pause();
    }
    std::array<char, 64> text {};
    auto const length = read(channel[0], text.data(), text.size());
    close(channel[0]);
    close(channel[1]);
    Core::Error error;
    auto const endpoint = Core::parseEndpoint(std::string_view(text.data(), static_cast<std::size_t>(length)), error);
    ASSERT_TRUE(endpoint) << error.message;
    HTTP::Request const request { "GET", "/stand-in/record", {}, {} };
    EXPECT_TRUE(TestSupport::blockingCall(*endpoint, request, error)) << error.message;
    kill(tester, SIGKILL);
    waitpid(tester, nullptr, 0);
    // A call that is in progress when the process ends fails with another error kind.
    auto const isRefused = [&] { return !TestSupport::blockingCall(*endpoint, request, error) && error.kind == Core::ErrorKind::BackendUnreachable; };
    EXPECT_TRUE(TestSupport::waitUntil(isRefused));
}

// Guards against waiting for the whole time-out, or forever, for a process that exits before it listens.
TEST(ChildProcessTest, ReportsProcessesThatDoNotStart)
{
    ChildProcess platform({ STAND_IN_BINARY, "platform", "--history_per_kind=0", "--listen=nowhere" });
    EXPECT_THROW((void)platform.endpoint("platform"), std::runtime_error);
    EXPECT_EQ(platform.waitForExit(), 2);
    EXPECT_NE(platform.log().find("--history_per_kind=\"0\": expected 1 to 1000000 changes"), std::string::npos);
    EXPECT_NE(platform.log().find("--listen=\"nowhere\""), std::string::npos);
}

// Guards against a misspelt switch, which would run a test without its fault.
TEST(ChildProcessTest, UnknownSwitchesAreRefused)
{
    ChildProcess platform({ STAND_IN_BINARY, "platform" });
    ChildProcess proxy({ STAND_IN_BINARY, "proxy", "--target=" + platform.endpoint("platform").toString() });
    for (auto const& endpoint : { platform.endpoint("platform"), proxy.endpoint("control") }) {
        for (auto const& body : { boost::json::value { { "slowms", 1 } }, boost::json::value { { "cut", 1 } }, boost::json::value(1) })
            EXPECT_THROW(TestSupport::callStandIn(endpoint, "PUT", "/stand-in/faults", body), std::runtime_error);
    }
}
