#include <LibFleet/EngineCommands.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using namespace Fleet;

static CommandPolicy const ignoringFencing { 1s, 10s, EngineFencing::Ignored };
static CommandPolicy const checkingFencing { 1s, 10s, EngineFencing::Checked };
static std::vector<DesiredEngine> const desired { { "e1", 1, "serving", "v2" } };

// Guards against commands that may arrive after the lease has expired, or while a command of the former holder is in flight.
TEST(EngineCommands, NoCommandsWithoutSufficientLease)
{
    EXPECT_FALSE(canSendCommands({ 0, 5s, 20s }, checkingFencing));
    EXPECT_FALSE(canSendCommands({ 3, 1s, 20s }, checkingFencing));
    EXPECT_TRUE(canSendCommands({ 3, 1001ms, 20s }, checkingFencing));
    EXPECT_TRUE(canSendCommands({ 3, 5s, 0s }, checkingFencing));
    EXPECT_FALSE(canSendCommands({ 3, 5s, 10999ms }, ignoringFencing));
    EXPECT_TRUE(canSendCommands({ 3, 5s, 11s }, ignoringFencing));
    EXPECT_TRUE(decideCommands(desired, {}, { 3, 1s, 20s }, checkingFencing).empty());
    EXPECT_TRUE(decideCommands(desired, {}, { 3, 5s, 5s }, ignoringFencing).empty());
}

// Guards against a successor that relies on confirmations to an earlier holder, and against resending commands forever.
TEST(EngineCommands, SentOnceInEachEpoch)
{
    LeaseStatus const lease { 3, 5s, 20s };
    auto const commands = decideCommands(desired, { { "e1", 1, "serving", "v2", 2, 2 } }, lease, ignoringFencing);
    ASSERT_EQ(commands.size(), 2U);
    EXPECT_EQ(commands[0].kind, EngineCommandKind::Role);
    EXPECT_EQ(commands[0].value, "serving");
    EXPECT_EQ(commands[0].fencingToken, 3U);
    EXPECT_EQ(commands[1].value, "v2");
    EXPECT_TRUE(decideCommands(desired, { { "e1", 1, "serving", "v2", 3, 3 } }, lease, ignoringFencing).empty());
    EXPECT_EQ(decideCommands(desired, { { "e1", 1, "serving", "v1", 3, 3 } }, lease, ignoringFencing).size(), 1U);
    // A restarted engine has lost the state that it confirmed.
    EXPECT_EQ(decideCommands({ { "e1", 2, "serving", "" } }, { { "e1", 1, "serving", "v2", 3, 3 } }, lease, ignoringFencing).size(), 1U);
}

// Guards against version counts that differ from the weights, and against unnecessary version changes.
TEST(EngineCommands, VersionsFollowTheWeightsWithFewChanges)
{
    std::vector<Configuration::ModelVersion> const versions { { "v1", "w1", 90 }, { "v2", "w2", 10 } };
    std::vector<std::string> currentVersions(10, "v1");
    auto const assigned = assignVersions(versions, currentVersions);
    EXPECT_EQ(std::count(assigned.begin(), assigned.end(), "v1"), 9);
    EXPECT_EQ(std::count(assigned.begin(), assigned.end(), "v2"), 1);
    auto balanced = currentVersions;
    balanced[0] = "v2";
    EXPECT_EQ(assignVersions(versions, balanced), balanced);
    EXPECT_EQ(assignVersions({ { "v3", "w3", 1 } }, { "v1", "" }), (std::vector<std::string> { "v3", "v3" }));
    EXPECT_EQ(assignVersions({}, { "v1" }), (std::vector<std::string> { "" }));
}
