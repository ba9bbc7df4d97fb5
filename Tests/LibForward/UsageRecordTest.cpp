#include <LibForward/UsageRecord.h>
#include <gtest/gtest.h>

using Forward::UsageDecision;

static constexpr std::uint64_t era = 3;

TEST(UsageRecordTest, RoundTripsAndRejectsDamagedRecords)
{
    Forward::UsageRecord const record { { { 352, { { "a", 4 }, { "b", 0 } } }, { 353, {} } }, era };
    EXPECT_EQ(Forward::decodeUsageRecord(Forward::encodeUsageRecord(record)), record);
    EXPECT_EQ(Forward::decodeUsageRecord(R"({"windows":{}})"), Forward::UsageRecord {});
    for (auto const* text : { "", "[]", "{}", R"({"windows":{"x":{}}})", R"({"windows":{"352":1}})", R"({"windows":{"352":{"a":-1}}})" })
        EXPECT_FALSE(Forward::decodeUsageRecord(text)) << text;
}

// Guards against windows that are never reported, or reported twice, after another writer damaged the record.
TEST(UsageRecordTest, DamagedRecordDoesNotStopTheReports)
{
    for (auto const* text : { "null", "1e308", "[[[[", R"({"windows":{"353x":{}}})", R"({"windows":{"-1":{}}})", R"({"windows":{"9223372036854775808":{}}})", R"({"windows":{"353":{"a":1e308}}})", R"({"windows":{"353":{"a":1.5}}})", R"({"windows":{"353":{"a":null}}})" })
        EXPECT_FALSE(Forward::decodeUsageRecord(text)) << text;
    for (auto const* future : { "2000", "9223372036854775807" }) {
        auto const record = Forward::decodeUsageRecord(R"({"era":3,"windows":{"352":{"a":4},")" + std::string(future) + R"(":{"a":1}}})");
        Forward::UsageLedger ledger;
        Forward::loadUsageRecord(ledger, record, era, 353);
        EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 352), UsageDecision::Report) << future;
        EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 353), UsageDecision::StoreFirst) << future;
    }
    Forward::UsageLedger ledger;
    Forward::loadDamagedUsageRecord(ledger, 353);
    EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 353), UsageDecision::Settled);
    EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 354), UsageDecision::StoreFirst);
}

// Guards against two reports of one window with different counts: a later holder reports those of the earlier one.
TEST(UsageRecordTest, ALaterHolderReportsTheDecidedCounts)
{
    Forward::UsageLedger ledger;
    Forward::loadUsageRecord(ledger, Forward::UsageRecord { { { 352, { { "a", 4 } } } }, era }, era, 353);
    EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 351), UsageDecision::Settled);
    EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 352), UsageDecision::Report);
    EXPECT_EQ(ledger.decided.at(352), (Forward::TeamCounts { { "a", 4 } }));
    EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 353), UsageDecision::StoreFirst);
    EXPECT_EQ(Forward::decideUsageReport(ledger, {}, 353), UsageDecision::Settled);
}

// Guards against the same after the store returned from a copy that lacks the windows which the holder has reported since.
TEST(UsageRecordTest, AHolderKeepsItsDecisionsWhenTheStoreIsRestored)
{
    Forward::UsageLedger ledger;
    Forward::loadUsageRecord(ledger, std::nullopt, 0, 350);
    ledger.decided = Forward::withWindow(ledger, 352, { { "a", 4 } });
    ledger.settledUntil = 351;
    for (auto const& copy : { std::optional<Forward::UsageRecord>(), std::optional(Forward::UsageRecord { { { 350, { { "a", 1 } } } }, 0 }) }) {
        Forward::loadUsageRecord(ledger, copy, 1, 353);
        EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 352), UsageDecision::Report);
        EXPECT_EQ(ledger.decided.at(352), (Forward::TeamCounts { { "a", 4 } }));
        EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 353), UsageDecision::StoreFirst);
    }
}

// Guards against the same by a new holder, which cannot know what was reported between the copy and the restoration.
TEST(UsageRecordTest, ANewHolderInARestoredStoreLeavesOutWindowsThatMayHaveBeenReported)
{
    for (auto const& copy : { std::optional<Forward::UsageRecord>(), std::optional(Forward::UsageRecord { { { 350, { { "a", 1 } } } }, era - 1 }) }) {
        Forward::UsageLedger ledger;
        Forward::loadUsageRecord(ledger, copy, era, 353);
        EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 353), UsageDecision::Settled);
        EXPECT_EQ(Forward::decideUsageReport(ledger, { { "a", 5 } }, 354), UsageDecision::StoreFirst);
    }
}
