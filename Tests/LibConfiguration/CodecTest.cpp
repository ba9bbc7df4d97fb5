#include "Fixtures.h"
#include <LibConfiguration/Apply.h>
#include <LibConfiguration/Codec.h>
#include <LibConfiguration/Diff.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>

using namespace Configuration;
using namespace ConfigurationTests;
using testing::ElementsAre;
using testing::HasSubstr;

TEST(CodecTest, RoundTripKeepsEveryField)
{
    AppliedState const state { 7, exampleState(), { { 7, 1700000000123, "mirela", "id", "why \"so\"", { "teams/classroom: added" } } } };
    Core::Error error;
    EXPECT_EQ(appliedStateFromJsonText(toJsonText(state), error), state) << error.message;
    EXPECT_EQ(desiredStateFromJsonText(toJsonText(state.desired), error), state.desired) << error.message;

    ApplyRequest const request { 6, "id", "mirela", "", exampleState() };
    ValidationErrors errors;
    EXPECT_EQ(applyRequestFromJson(toJson(request), errors), request) << joinErrors(errors);
}

// Guards against a node applying a state that does not match its schema.
TEST(CodecTest, ReportsSchemaViolationsWithPointers)
{
    Core::Error error;
    EXPECT_FALSE(appliedStateFromJsonText("{", error));
    EXPECT_EQ(error.kind, Core::ErrorKind::InvalidConfiguration);
    EXPECT_FALSE(appliedStateFromJsonText(R"({"generation":1.5,"desired":{"teams":[{"name":"a","keyDigests":[],"services":[1],"limits":{"a/b~":0}}]}})", error));
    EXPECT_THAT(error.message, HasSubstr("/generation: is 1.5E0; expected a whole number"));
    EXPECT_THAT(error.message, HasSubstr("/desired/teams/0/services/0: is a number; expected text"));
    EXPECT_THAT(error.message, HasSubstr("/desired/teams/0/limits/a~1b~0: unknown field"));
    EXPECT_THAT(error.message, HasSubstr("\"audit\" is missing"));
}

// Every prefix and many single-byte changes of a valid text either decode or fail; guards against crashes on corrupted objects.
TEST(CodecTest, HandlesCorruptedText)
{
    AppliedState const state { 7, exampleState(), {} };
    auto const text = toJsonText(state);
    Core::Error error;
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_FALSE(appliedStateFromJsonText(text.substr(0, length), error));
    Core::Random random(11);
    for (int round = 0; round < 3000; ++round) {
        auto damaged = text;
        damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        if (auto const decoded = appliedStateFromJsonText(damaged, error)) {
            EXPECT_TRUE(appliedStateFromJsonText(toJsonText(*decoded), error));
        }
    }
}

TEST(DiffTest, ListsOneLinePerDifference)
{
    auto const before = exampleState();
    auto after = before;
    EXPECT_THAT(diff(before, after), ElementsAre());
    after.services[0].versions[1].weight = 20;
    after.services[0].adapters.clear();
    after.services[0].target.firstTokenMilliseconds = 400;
    std::swap(after.services[1].operations[0], after.services[1].operations[1]);
    after.teams[0].limits.requestsPerSecond = 20;
    after.teams[0].services = { "advisor" };
    after.teams.push_back({ "curators", {}, {}, {}, 1 });
    after.places[0].machineClasses[1].maximumHosts = 9;
    EXPECT_THAT(diff(before, after), ElementsAre("services/advisor: versions[v2].weight: 10 -> 20", "services/advisor: adapters[orders]: removed", "services/advisor: target.firstTokenMilliseconds: 440 -> 400", "services/storefront: operations: order: refund, lookup -> lookup, refund", "teams/classroom: services[\"storefront\"]: removed", "teams/classroom: limits.requestsPerSecond: 10 -> 20", "teams/curators: added", "places/south-1: machineClasses[large in zone-b].maximumHosts: 8 -> 9"));
    EXPECT_THAT(diff(after, before), testing::Contains("teams/curators: removed"));
}
