#include <LibAdmission/WaitingQueue.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

static constexpr Core::MonotonicTime start { 1000s };

static std::uint64_t add(Admission::WaitingQueue& queue, std::uint32_t priority, std::string const& team, Core::Duration wait)
{
    return Admission::enqueue(queue, priority, team, start + wait, 5).value_or(0);
}

// Guards against urgent requests behind others, and a team whose requests all go before those of another.
TEST(WaitingQueueTest, ReleasesByUrgencyThenFairlyThenByTheTimeLeft)
{
    Admission::WaitingQueue queue;
    auto const late = add(queue, 1, "large", 90ms);
    auto const early = add(queue, 1, "large", 50ms);
    auto const other = add(queue, 1, "small", 95ms);
    auto const urgent = add(queue, 0, "large", 99ms);
    auto const last = add(queue, 2, "small", 10ms);
    EXPECT_EQ(add(queue, 0, "small", 10ms), 0u);
    for (auto const id : { urgent, other, early, late, last }) {
        EXPECT_TRUE(Admission::next(queue));
        EXPECT_TRUE(Admission::takeReleased(queue, id));
    }
    EXPECT_FALSE(Admission::next(queue));
}

// Guards against requests that wait for ever, or that are sent after their client has left.
TEST(WaitingQueueTest, RequestsLeaveAfterTheirTimeOrWithTheirClient)
{
    Admission::WaitingQueue queue;
    auto const left = add(queue, 0, "a", 50ms);
    auto const due = add(queue, 0, "a", 50ms);
    auto const remaining = add(queue, 0, "a", 60ms);
    Admission::cancel(queue, left);
    EXPECT_EQ(Admission::expire(queue, start + 50ms), 1u);
    EXPECT_FALSE(Admission::takeReleased(queue, left));
    EXPECT_TRUE(Admission::takeReleased(queue, due));
    EXPECT_FALSE(Admission::takeReleased(queue, remaining));
    Admission::cancel(queue, remaining);
    EXPECT_EQ(queue.requests.size() + queue.released.size(), 0u);
}
