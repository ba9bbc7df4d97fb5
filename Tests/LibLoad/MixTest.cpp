#include <LibCore/Uuid.h>
#include <Load/Arrivals.h>
#include <Load/CompletionResponse.h>
#include <Load/Mix.h>
#include <Load/RequestFactory.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <map>

static constexpr auto* sampleMix = R"(
name: sample
teams: [{ name: a, key: a-key, weight: 3 }, { name: b }]
bursts: { everySeconds: 10, lengthSeconds: 2, factor: 4 }
classes:
  - { name: short, kind: chat, service: model, ratePerSecond: 50, promptTokens: [5, 9], answerTokens: [2, 4], prefixGroups: 2, prefixTokens: 16, stream: true, deadlineMs: 900 }
  - { name: refund, kind: service, service: shop, teams: [b], ratePerSecond: 1, path: /refunds, bodyBytes: [10, 20], idempotencyKey: true }
)";

static Load::Mix sample()
{
    Core::Error error;
    auto mix = Load::parseMix(sampleMix, error);
    EXPECT_TRUE(mix) << error.message;
    return mix.value_or(Load::Mix {});
}

TEST(MixTest, ReadsAllFields)
{
    auto const mix = sample();
    ASSERT_EQ(mix.classes.size(), 2u);
    EXPECT_EQ(mix.teams[1], (Load::Team { "b", "", 1 }));
    EXPECT_EQ(mix.bursts, (Load::Bursts { 10, 2, 4 }));
    EXPECT_EQ(mix.classes[0].responseMode, Load::ResponseMode::Streamed);
    EXPECT_EQ(mix.classes[0].promptTokens, (Load::Range { 5, 9 }));
    EXPECT_EQ(mix.classes[1].idempotencyKey, Load::IdempotencyKeyUse::Send);
}

// Guards against a misspelt or invalid field that is ignored, so that the run differs from the one described.
TEST(MixTest, ErrorsNameTheInvalidField)
{
    std::pair<std::string, std::string> const replacements[] {
        { "everySeconds: 10", "everySecond: 10" },
        { "[5, 9]", "[9, 5]" },
        { "ratePerSecond: 50", "ratePerSecond: -1" },
        { "kind: chat", "kind: talk" },
        { "stream: true", "stream: perhaps" },
        { "path: /refunds", "path: refunds" },
        { "weight: 3", "weight: .nan" },
        { "teams: [b]", "teams: [c]" },
    };
    for (auto const& [right, wrong] : replacements) {
        std::string text = sampleMix;
        text.replace(text.find(right), right.size(), wrong);
        Core::Error error;
        EXPECT_FALSE(Load::parseMix(text, error)) << wrong;
        EXPECT_EQ(error.kind, Core::ErrorKind::InvalidConfiguration);
        EXPECT_NE(error.message.find('.'), std::string::npos) << error.message;
    }
}

TEST(MixTest, ExampleMixesAreValid)
{
    for (auto const* name : { "cypress-hollow", "vitrinezorg" }) {
        Core::Error error;
        auto const mix = Load::readMixFile(std::string(EXAMPLES_DIRECTORY "/mixes/") + name + ".yaml", error);
        ASSERT_TRUE(mix) << error.message;
        EXPECT_EQ(mix->name, name);
    }
}

TEST(ArrivalsTest, RateFollowsTheBursts)
{
    Core::Random random(3);
    std::vector<Load::BurstWindow> const windows { { 100, 200 } };
    int outside = 0;
    int inside = 0;
    for (double time = 0; (time = Load::nextArrival(time, 50, windows, 4, random)) < 300;)
        ++(time >= 100 && time < 200 ? inside : outside);
    // Both counts are Poisson distributed; the tolerance is 5 standard deviations.
    EXPECT_NEAR(outside, 10'000, 500);
    EXPECT_NEAR(inside, 20'000, 710);
    EXPECT_EQ(Load::nextArrival(0, 0, windows, 4, random), std::numeric_limits<double>::infinity());
    EXPECT_GE(Load::nextArrival(150, 50, windows, 0, random), 200);
}

TEST(ArrivalsTest, BurstsHaveTheExpectedMeanInterval)
{
    Core::Random random(3);
    auto const windows = Load::drawBursts({ 10, 2, 4 }, 100'000, random);
    EXPECT_NEAR(static_cast<double>(windows.size()), 10'000, 500);
    for (std::size_t index = 1; index < windows.size(); ++index)
        ASSERT_GE(windows[index].start, windows[index - 1].end);
}

TEST(RequestFactoryTest, BuildsDeterministicRequestsWithinTheRanges)
{
    auto const mix = sample();
    Core::WallTime const time(std::chrono::milliseconds(1'700'000'000'000));
    std::map<std::string, int> teams;
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        Core::Random random(seed);
        Core::Random same(seed);
        auto const planned = Load::buildRequest(mix, mix.classes[0], "default-key", random, time);
        ASSERT_EQ(planned, Load::buildRequest(mix, mix.classes[0], "default-key", same, time));
        ++teams[planned.team];
        EXPECT_EQ(planned.request.headers.find("Authorization"), planned.team == "a" ? "Bearer a-key" : "Bearer default-key");
        EXPECT_EQ(planned.request.headers.find("Hyssopstep-Deadline-Ms"), "900");
        // 16 words of the prefix, 5 to 9 of the prompt, and the "length=" word.
        auto const words = std::count(planned.request.body.begin(), planned.request.body.end(), ' ') + 2;
        EXPECT_GE(words, 16 + 5 + 1);
        EXPECT_LE(words, 16 + 9 + 1);
    }
    EXPECT_NEAR(teams["a"], 300, 45);
}

TEST(RequestFactoryTest, IdempotencyKeysContainTheRequestTime)
{
    auto const mix = sample();
    Core::Random random(1);
    Core::WallTime const time(std::chrono::milliseconds(1'700'000'000'000));
    auto const planned = Load::buildRequest(mix, mix.classes[1], "", random, time);
    EXPECT_EQ(planned.request.target, "/services/shop/refunds");
    EXPECT_EQ(planned.team, "b") << "team b is the only team of the class";
    Core::Error error;
    auto const key = Core::parseUuid(planned.request.headers.find("Idempotency-Key").value_or(""), error);
    ASSERT_TRUE(key);
    EXPECT_EQ(Core::uuidTime(*key), time);
}

// Guards against repeated or missing events that go uncounted.
TEST(CompletionResponseTest, CountsTokensAndSequenceErrors)
{
    Load::StreamedResponse response;
    auto const event = [](int id, std::string const& text) { return HTTP::ServerSentEvent { std::to_string(id), R"({"choices":[{"delta":{"content":")" + text + "\"}}]}" }; };
    EXPECT_EQ(Load::consumeEvent(response, event(1, "one")), 1u);
    EXPECT_EQ(Load::consumeEvent(response, event(2, " two three")), 2u);
    EXPECT_EQ(response.sequenceErrors, 0u);
    Load::consumeEvent(response, event(2, " two three"));
    Load::consumeEvent(response, event(4, ""));
    EXPECT_EQ(response.sequenceErrors, 2u);
    EXPECT_FALSE(response.done);
    Load::consumeEvent(response, { "", R"({"type":"about:blank","title":"","status":502,"detail":"x","kind":"backend_failed","run_state":"unknown"})" });
    ASSERT_TRUE(response.problem);
    EXPECT_EQ(response.problem->kind, Core::ErrorKind::BackendFailed);
    Load::consumeEvent(response, { "", "[DONE]" });
    EXPECT_TRUE(response.done);
    EXPECT_EQ(Load::parseCompletionText(R"({"choices":[{"message":{"content":"a b"}}]})"), "a b");
    EXPECT_EQ(Load::parseCompletionText(R"({"choices":[{"text":"c"}]})"), "c");
    EXPECT_FALSE(Load::parseCompletionText(R"({"choices":[]})"));
}
