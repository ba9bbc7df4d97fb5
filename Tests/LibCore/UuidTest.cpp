#include <LibCore/Uuid.h>
#include <gtest/gtest.h>
#include <set>

using namespace std::chrono_literals;

// Guards against a time, version or variant in the wrong bits: the text is the example of RFC 9562, appendix A.6.
TEST(UuidTest, ParsesExampleOfRfc9562)
{
    Core::Error error;
    auto const uuid = Core::parseUuid("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", error);
    ASSERT_TRUE(uuid);
    EXPECT_EQ(uuid->version(), 7u);
    EXPECT_EQ(uuid->toString(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    EXPECT_EQ(Core::uuidTime(*uuid), Core::WallTime(1645557742000ms));
}

TEST(UuidTest, GeneratedKeysKeepTheirTimeAndDiffer)
{
    Core::Random random(1);
    Core::WallTime const time(1'700'000'000'123ms);
    std::set<Core::Uuid> seen;
    for (int round = 0; round < 1000; ++round) {
        auto const uuid = Core::generateUuidV7(random, time);
        Core::Error error;
        EXPECT_EQ(Core::parseUuid(uuid.toString(), error), uuid);
        EXPECT_EQ(Core::uuidTime(uuid), time);
        seen.insert(uuid);
    }
    EXPECT_EQ(seen.size(), 1000u);
    EXPECT_LT(Core::generateUuidV7(random, time), Core::generateUuidV7(random, time + 1ms));
}

TEST(UuidTest, RefusesMalformedText)
{
    for (auto const* text : { "", "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "017f22e279b0-7cc3-98c4-dc0c0c07398f0", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "+17f22e2-79b0-7cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0", "0 7f22e2-79b0-7cc3-98c4-dc0c0c07398f" }) {
        Core::Error error;
        EXPECT_FALSE(Core::parseUuid(text, error)) << text;
        EXPECT_EQ(error.kind, Core::ErrorKind::IdempotencyKeyInvalid);
    }
}

// A key of version 4, or of another variant, carries no time.
TEST(UuidTest, OtherVersionsHaveNoTime)
{
    Core::Error error;
    EXPECT_FALSE(Core::uuidTime(*Core::parseUuid("919108f7-52d1-4320-9bac-f847db4148a8", error)));
    EXPECT_FALSE(Core::uuidTime(*Core::parseUuid("017f22e2-79b0-7cc3-18c4-dc0c0c07398f", error)));
}
