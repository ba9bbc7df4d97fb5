#include <LibFleet/FleetRecord.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using namespace Fleet;

static Platform::Host listedHost(std::string id)
{
    return { std::move(id), Platform::HostRole::Backend, {}, "advisor", "v1", "dc1", "z1", "small", true, Platform::HostState::Live, 1 };
}

static StartRecord startRecord(std::string token, StartState state, std::string hostId)
{
    return { std::move(token), { "advisor", "dc1", "z1", "small", true }, 1000, state, std::move(hostId), { "old" } };
}

// Guards against repeating a start whose response was lost, waiting for a start forever, and matching two starts with the same
// host.
TEST(FleetRecord, StartsAreMatchedWithTheHostList)
{
    FleetRecord record;
    record.starts = { startRecord("t1", StartState::Requested, ""), startRecord("t2", StartState::Granted, "new"), startRecord("t3", StartState::Requested, "") };
    EXPECT_TRUE(reconcile(record, { listedHost("old") }, 2000, 10s).empty());
    EXPECT_EQ(record.starts.size(), 3U);
    // "new" belongs to t2, although t1 comes first.
    EXPECT_EQ(reconcile(record, { listedHost("new"), listedHost("old") }, 2000, 10s).size(), 1U);
    ASSERT_EQ(record.starts.size(), 2U);
    EXPECT_EQ(record.starts[0].token, "t1");
    (void)reconcile(record, { listedHost("newer"), listedHost("old") }, 3000, 10s);
    ASSERT_EQ(record.starts.size(), 1U);
    EXPECT_EQ(record.starts[0].token, "t3");
    EXPECT_EQ(reconcile(record, { listedHost("old") }, 11'000, 10s).size(), 1U);
    EXPECT_TRUE(record.starts.empty());
    EXPECT_EQ(record.decisions.size(), 3U);
}

// Guards against state that is lost between two holders, a damaged record treated as an empty one, and unbounded growth of the
// record.
TEST(FleetRecord, RoundTripsAndLimitsDecisions)
{
    FleetRecord record;
    record.epoch = 7;
    record.writeId = "w";
    record.starts = { startRecord("t1", StartState::Granted, "new") };
    record.drains = { { "h", 3, 12, "why" } };
    recordRefusal(record, { "dc1", "z1", "small", Purchase::Reclaimable }, 5);
    recordRefusal(record, { "dc1", "z1", "small", Purchase::Reclaimable }, 6);
    for (std::size_t number = 0; number < maximumDecisions + 5; ++number)
        addDecision(record, { static_cast<std::int64_t>(number), 7, "h", "text" });
    EXPECT_EQ(record.decisions.size(), maximumDecisions);
    EXPECT_EQ(record.refusals.at(0).count, 2U);
    Core::Error error;
    EXPECT_EQ(decodeFleetRecord(encodeFleetRecord(record), error), record);
    for (auto const* text : { "", "{}", "[]", R"({"epoch":1})" })
        EXPECT_FALSE(decodeFleetRecord(text, error)) << text;
    // The host restarted with another incarnation, so the drain does not apply to it.
    (void)reconcile(record, { listedHost("h") }, 20, 10s);
    EXPECT_TRUE(record.drains.empty());
}
