#include <gtest/gtest.h>
#include <platform/RolloutCodec.h>

using namespace std::chrono_literals;
using Rollout::State;

static std::optional<Rollout::StoredOrder> decode(std::string value, std::string status = {}, std::string const& name = "app")
{
    Core::Error error;
    return PlatformAdapter::RolloutCodec().decodeOrder({ { "rollouts", name }, { 1, 7 }, std::move(value), std::move(status) }, error);
}

static constexpr char const* order = R"({"service":"app","to":"v2","period-s":12})";

// Guards against a holder that takes over and reads less than the one before wrote.
TEST(RolloutCodecTest, StatusIsReadAsItWasWritten)
{
    Rollout::Order const known { .id = { "app", "v2", 12s }, .state = State::RolledBack, .startedAt = 1234, .revision = { 1, 7 }, .isFoundBad = true, .reason = "failures on \"a\"", .rejectedVersions = { "v0" } };
    auto const text = PlatformAdapter::RolloutCodec().encodeStatus(known);
    auto const decoded = decode(order, text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->id, known.id);
    EXPECT_EQ(decoded->status, (Rollout::StoredStatus { known.id, State::RolledBack, 1234, known.reason, { "v0" } }));
    EXPECT_NE(text.find(R"("state":"rolled_back")"), std::string::npos);
    EXPECT_NE(text.find(R"("to":"v2")"), std::string::npos);
}

TEST(RolloutCodecTest, StateThatIsNotStoredIsWrittenAsRunning)
{
    Rollout::Order const known { .id = { "app", "v2", 1500ms }, .state = State::Completing, .reason = {}, .rejectedVersions = {} };
    auto const decoded = decode(order, PlatformAdapter::RolloutCodec().encodeStatus(known));
    ASSERT_TRUE(decoded && decoded->status);
    EXPECT_EQ(decoded->status->state, State::Running);
    EXPECT_EQ(decoded->status->id.period, 1500ms);
}

TEST(RolloutCodecTest, OrderThatCannotBeServedHasAFault)
{
    EXPECT_EQ(decode(order)->fault, "");
    EXPECT_NE(decode(order, {}, "other")->fault, "");
    for (auto const* value : { R"({"service":"app","to":"v2"})", R"({"service":"app","to":"v2","period-s":"12"})", R"({"service":"app","to":"v2","period-s":-1})", R"({"service":"app","to":"v2","period-s":1e300})" })
        EXPECT_NE(decode(value)->fault, "") << value;
    for (auto const* value : { "null", "[]", "{", R"({"to":"v2","period-s":12})", R"({"service":"app","to":2,"period-s":12})" })
        EXPECT_FALSE(decode(value)) << value;
}

TEST(RolloutCodecTest, StatusOfAnotherWriterCountsAsMissing)
{
    for (auto const* status : { "1", R"({"state":"done","to":"v2"})", "{}" })
        EXPECT_FALSE(decode(order, status)->status) << status;
}
