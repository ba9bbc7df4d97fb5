#include <LibCore/Runtime.h>
#include <gtest/gtest.h>
#include <vector>

using namespace std::chrono_literals;

namespace {

class RuntimeTest : public testing::Test {
protected:
    void advance(Core::Duration duration)
    {
        m_runtime.advance(duration);
        m_context.restart();
        m_context.poll();
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
};

}

// Guards against timers that follow the real clock while a test has paused it.
TEST_F(RuntimeTest, PausedClockFiresOnlyWhenAdvanced)
{
    m_runtime.pause();
    std::vector<int> fired;
    auto first = m_runtime.callAt(m_runtime.now() + 2s, [&] { fired.push_back(2); });
    auto second = m_runtime.callAt(m_runtime.now() + 1s, [&] { fired.push_back(1); });
    advance(0s);
    EXPECT_TRUE(fired.empty());
    advance(3s);
    EXPECT_EQ(fired, (std::vector<int> { 1, 2 }));
}

// Guards against a callback that runs after its owner cancelled it.
TEST_F(RuntimeTest, DestroyedTimerDoesNotFire)
{
    m_runtime.pause();
    bool fired = false;
    {
        auto timer = m_runtime.callAt(m_runtime.now() + 1s, [&] { fired = true; });
    }
    advance(2s);
    EXPECT_FALSE(fired);
}

// Guards against a missed wake-up of a sleeping task.
TEST_F(RuntimeTest, SleepingTaskWakes)
{
    m_runtime.pause();
    int steps = 0;
    auto task = [&]() -> Core::Awaitable<void> {
        co_await m_runtime.sleepFor(1s);
        ++steps;
        co_await m_runtime.sleepFor(1s);
        ++steps;
    };
    m_runtime.spawn(task());
    advance(0s);
    EXPECT_EQ(steps, 0);
    advance(1s);
    EXPECT_EQ(steps, 1);
    advance(1s);
    EXPECT_EQ(steps, 2);
}

// Guards against one waiter's deadline being reported as a notification to another.
TEST_F(RuntimeTest, EventDistinguishesDeadlineFromNotification)
{
    m_runtime.pause();
    Core::AsyncEvent event(m_runtime);
    std::vector<bool> results;
    auto wait = [&](Core::Duration duration) -> Core::Awaitable<void> {
        bool const notified = co_await event.waitUntil(m_runtime.now() + duration);
        results.push_back(notified);
    };
    m_runtime.spawn(wait(1s));
    m_runtime.spawn(wait(5s));
    advance(0s);
    advance(1s);
    EXPECT_EQ(results, (std::vector<bool> { false }));
    event.notifyAll();
    advance(0s);
    EXPECT_EQ(results, (std::vector<bool> { false, true }));
}
