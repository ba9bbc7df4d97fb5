#include <LibForward/DrainPolicy.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

// Guards against requests that arrive late in a planned stop, are sent to a server and are cut off when the node ends (LOST).
TEST(DrainPolicyTest, LateRequestsAreAcceptedOnlyIfTheyEndBeforeTheNode)
{
    Core::MonotonicTime const start { 100s };
    Forward::DrainSchedule const schedule { start + 2500ms, start + 7500ms };
    EXPECT_TRUE(Forward::acceptsWhileDraining(schedule, start + 11s, start + 1s));
    EXPECT_TRUE(Forward::acceptsWhileDraining(schedule, start + 3300ms, start + 2500ms));
    EXPECT_TRUE(Forward::acceptsWhileDraining(schedule, start + 7500ms, start + 2500ms));
    EXPECT_FALSE(Forward::acceptsWhileDraining(schedule, start + 7501ms, start + 2500ms));
    EXPECT_FALSE(Forward::acceptsWhileDraining(schedule, start + 13500ms, start + 3500ms));
    EXPECT_FALSE(Forward::acceptsWhileDraining(schedule, start + 7900ms, start + 7600ms));
}
