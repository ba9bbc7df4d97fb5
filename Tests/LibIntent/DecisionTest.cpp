#include <LibIntent/IntentFixture.h>

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using namespace Intent;
using Core::RunState;

namespace {

constexpr std::uint64_t nowMilliseconds = 1'800'000'000'000;
Core::WallTime const now { std::chrono::milliseconds(nowMilliseconds) };

IntentKey keyOfAge(std::chrono::milliseconds age)
{
    Core::Random random(7);
    Core::Error error;
    return *parseIntentKey(IntentTest::makeKey(nowMilliseconds - static_cast<std::uint64_t>(age.count()), random), error);
}

IntentRecord recordIn(IntentState state)
{
    IntentRecord record { "digest", "request", "node-1.a", "node-1", state, nowMilliseconds - 1000, nowMilliseconds + 1000, 0, AnswerLocation::Inline, {}, std::nullopt };
    if (state == IntentState::Finished)
        record.answer = RecordedAnswer { 201, { { "Content-Type", "text/plain" } }, "done" };
    return record;
}

}

// Guards against accepting a key without a usable time, or reading the wrong digits as its time.
TEST(IntentKey, OnlyVersion7IsAccepted)
{
    Core::Error error;
    auto const key = parseIntentKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", error);
    ASSERT_TRUE(key);
    // The example of RFC 9562, appendix A.6: 2022-02-22T19:22:22Z.
    EXPECT_EQ(key->unixMilliseconds, 1645557742000U);
    EXPECT_EQ(key->text, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    for (auto const* text : { "", "17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "017f22e2x79b0-7cc3-98c4-dc0c0c07398f", "g17f22e2-79b0-7cc3-98c4-dc0c0c07398f" }) {
        EXPECT_FALSE(parseIntentKey(text, error)) << text;
        EXPECT_EQ(error.kind, Core::ErrorKind::IdempotencyKeyInvalid);
        EXPECT_EQ(error.runState, RunState::NotRun);
    }
}

// Guards against two teams or services sharing a record, and against locations that depend on more than the key, its owner
// and the settings.
TEST(IntentKey, PlaceAndDigestSeparateTeamsAndServices)
{
    auto const key = keyOfAge(0ms);
    EXPECT_NE(keyDigest("a", "bc", key), keyDigest("ab", "c", key));
    EXPECT_EQ(keyDigest("a", "b", key), keyDigest("a", "b", key));
    IntentSettings const settings;
    EXPECT_EQ(locationOf("a", "b", key, settings), locationOf("a", "b", key, settings));
    EXPECT_EQ(locationOf("a", "b", key, settings).bucket, nowMilliseconds / 60'000);
    EXPECT_EQ(shardObjectName({ 30'000'000, 3 }, 0), "000030000000-3");
    EXPECT_EQ(shardObjectName({ 30'000'000, 3 }, 2), "000030000000-3-2");
    EXPECT_NE(requestFingerprint("POST", "/a", "b"), requestFingerprint("POST", "/ab", ""));
}

// Guards against running a key that has a record, whatever the clocks and the writer's state.
TEST(IntentDecision, OnlyAMissingRecordRuns)
{
    IntentSettings const settings;
    auto const key = keyOfAge(1min);
    EXPECT_EQ(decideIntent(nullptr, key, "request", now, WriterState::Unknown, settings).kind, IntentDecisionKind::Run);
    for (auto const state : { IntentState::Started, IntentState::Finished, IntentState::Abandoned }) {
        for (auto const writer : { WriterState::Live, WriterState::Unknown, WriterState::Dead }) {
            for (auto const later : { 0h, 1h, 23h }) {
                auto const record = recordIn(state);
                EXPECT_NE(decideIntent(&record, key, "request", now + later, writer, settings).kind, IntentDecisionKind::Run);
                EXPECT_EQ(decideIntent(&record, key, "other", now + later, writer, settings).kind, IntentDecisionKind::Mismatch);
            }
        }
    }
}

// Guards against a wrong decision for a repeated key.
TEST(IntentDecision, RecordDecidesTheAnswer)
{
    IntentSettings const settings;
    auto const key = keyOfAge(1min);
    auto const decide = [&](IntentRecord const& record, WriterState writer, std::chrono::milliseconds later = 0ms) { return decideIntent(&record, key, "request", now + later, writer, settings); };
    EXPECT_EQ(decide(recordIn(IntentState::Finished), WriterState::Dead).answer->body, "done");
    EXPECT_EQ(decide(recordIn(IntentState::Started), WriterState::Live).kind, IntentDecisionKind::InProgress);
    EXPECT_EQ(decide(recordIn(IntentState::Started), WriterState::Unknown).kind, IntentDecisionKind::InProgress);
    for (auto const& unknown : { decide(recordIn(IntentState::Started), WriterState::Dead), decide(recordIn(IntentState::Started), WriterState::Unknown, 10min), decide(recordIn(IntentState::Abandoned), WriterState::Live) }) {
        EXPECT_EQ(unknown.kind, IntentDecisionKind::OutcomeUnknown);
        EXPECT_EQ(unknown.error.runState, RunState::Unknown);
    }
    auto omitted = recordIn(IntentState::Finished);
    omitted.answerLocation = AnswerLocation::Omitted;
    EXPECT_EQ(decide(omitted, WriterState::Live).error.runState, RunState::Ran);
}

// Guards against accepting keys outside the period in which their records are kept.
TEST(IntentDecision, AgeIsCheckedFirst)
{
    IntentSettings const settings;
    auto const finished = recordIn(IntentState::Finished);
    auto const kindAt = [&](std::chrono::milliseconds age) { return decideIntent(nullptr, keyOfAge(age), "request", now, WriterState::Live, settings).kind; };
    EXPECT_EQ(kindAt(24h), IntentDecisionKind::Run);
    EXPECT_EQ(kindAt(24h + 1ms), IntentDecisionKind::Expired);
    EXPECT_EQ(kindAt(-5min), IntentDecisionKind::Run);
    EXPECT_EQ(kindAt(-5min - 1ms), IntentDecisionKind::Invalid);
    auto const expired = decideIntent(&finished, keyOfAge(25h), "request", now, WriterState::Live, settings);
    EXPECT_EQ(expired.kind, IntentDecisionKind::Expired);
    EXPECT_EQ(expired.error.runState, RunState::Unknown);
}

// Guards against records that change when encoded and decoded, and against reading a damaged shard as empty.
TEST(IntentCodec, ShardsAndAnswersSurvive)
{
    ShardContent content;
    content.sealed = true;
    for (auto const state : { IntentState::Started, IntentState::Finished, IntentState::Abandoned }) {
        auto record = recordIn(state);
        record.keyDigest += std::to_string(static_cast<int>(state));
        record.finishedAt = state == IntentState::Started ? 0 : nowMilliseconds;
        content.records[record.keyDigest] = record;
    }
    auto separateRecord = recordIn(IntentState::Finished);
    separateRecord.keyDigest = "separate";
    separateRecord.answer.reset();
    separateRecord.answerLocation = AnswerLocation::OwnObject;
    separateRecord.answerName = "name";
    content.records["separate"] = separateRecord;
    Core::Error error;
    EXPECT_EQ(decodeShard(encodeShard(content), error), content);
    for (std::size_t length = 0; length < 8; ++length) {
        RecordedAnswer const answer { 200, { { "A", "\xff" } }, std::string(length, '\0') + "\xfe" };
        EXPECT_EQ(decodeAnswer(encodeAnswer(answer), error), answer);
    }
    for (auto const* text : { "", "{}", "[]", R"({"sealed":false})", R"({"sealed":false,"records":[{}]})", R"({"sealed":false,"records":[{"key":"k","fingerprint":"f","attempt":"a","writer":"w","state":"new","startedAt":1,"deadlineAt":2}]})" }) {
        EXPECT_FALSE(decodeShard(text, error)) << text;
        EXPECT_EQ(error.kind, Core::ErrorKind::Internal);
    }
}
