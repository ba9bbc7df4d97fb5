#include "Fixtures.h"
#include <LibConfiguration/Codec.h>
#include <LibConfiguration/Loader.h>
#include <LibConfiguration/Validate.h>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <unistd.h>

using namespace Configuration;
using namespace ConfigurationTests;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::StartsWith;

namespace {

class LoaderTest : public testing::Test {
protected:
    LoaderTest() { std::filesystem::create_directories(m_directory); }
    ~LoaderTest() override { std::filesystem::remove_all(m_directory); }

    void write(std::string const& name, std::string const& text) { std::ofstream(m_directory / name) << text; }

    /// Loads the directory and returns the errors as lines.
    std::vector<std::string> load()
    {
        ValidationErrors errors;
        m_state = loadDirectory(m_directory, errors);
        EXPECT_EQ(m_state.has_value(), errors.empty());
        std::vector<std::string> lines;
        for (auto const& error : errors)
            lines.push_back(error.toString());
        return lines;
    }

    std::vector<std::string> load(std::string const& text)
    {
        write("a.yaml", text);
        return load();
    }

    std::filesystem::path m_directory { std::filesystem::path(testing::TempDir()) / ("configuration-" + std::to_string(getpid())) };
    std::optional<DesiredState> m_state;
};

std::string const validServices = R"(services:
  - name: storefront
    kind: plain
    operations:
      - { name: refund, method: POST, pathPrefix: /refunds, idempotency: non-idempotent }
  - name: advisor
    kind: model
    versions: [ { name: v2, weights: w2 }, { name: "1", weights: w1, weight: 3 } ]
)";
std::string const digestA(64, 'a');

}

// Guards against a state that depends on the order of the directory's entries or on the order within files.
TEST_F(LoaderTest, MergesFilesSortedByName)
{
    write("z.yaml", validServices);
    write("b.yaml", "teams:\n  - { name: classroom, keyDigests: [" + digestA + "], services: [storefront, advisor] }\n");
    write("empty.yaml", "# nothing yet\n");
    write("ignored.txt", "not: [yaml");
    EXPECT_THAT(load(), ElementsAre());
    ASSERT_TRUE(m_state);
    EXPECT_EQ(m_state->services[0].name, "advisor");
    EXPECT_EQ(m_state->services[0].versions[0], (ModelVersion { "1", "w1", 3 }));
    EXPECT_EQ(m_state->services[1].operations[0].idempotency, Idempotency::NonIdempotent);
    EXPECT_THAT(m_state->teams[0].services, ElementsAre("advisor", "storefront"));
}

// Guards against a loader that stops at the first error or reports no location.
TEST_F(LoaderTest, ReportsEveryErrorWithLocation)
{
    EXPECT_THAT(load(R"(services:
  - name: Advisor
    kind: modal
    colour: red
    importance: 101
    minimumServers: many
    versions: v1
teams:
  - keyDigests: [ABC]
    name: classroom
    name: curators
    services:
)"),
        ElementsAre(
            StartsWith("a.yaml:11:5: /teams/0/name: occurs more than once"),
            StartsWith("a.yaml:2:11: /services/0/name: is \"Advisor\"; expected lower-case letters"),
            StartsWith("a.yaml:3:11: /services/0/kind: is \"modal\"; expected one of: model, plain"),
            StartsWith("a.yaml:7:15: /services/0/versions: is text; expected a list"),
            StartsWith("a.yaml:5:17: /services/0/importance: is 101; expected a whole number from 0 to 100"),
            StartsWith("a.yaml:6:21: /services/0/minimumServers: is \"many\"; expected a whole number from 0 to 10000 servers"),
            StartsWith("a.yaml:4:13: /services/0/colour: unknown field; expected one of: adapters,"),
            StartsWith("a.yaml:9:18: /teams/0/keyDigests/0: has 3 bytes; expected 64 to 64 bytes"),
            StartsWith("a.yaml:12:5: /teams/0/services: is empty; expected a list")));
}

// Each input has one error; guards against invalid input that is accepted or ends the process.
TEST_F(LoaderTest, RefusesEachKindOfBadInput)
{
    std::string aliases = "services: &a0 [x]\n";
    for (int level = 1; level < 10; ++level)
        aliases += "teams" + std::to_string(level) + ": &a" + std::to_string(level) + " [*a" + std::to_string(level - 1) + ", *a" + std::to_string(level - 1) + ", *a" + std::to_string(level - 1) + ", *a" + std::to_string(level - 1) + "]\n";
    std::pair<std::string, std::string> const cases[] = {
        { "services: [", "the file: is not valid YAML" },
        { "services:\n  - name: a: b\n", "a.yaml:2:12: the file: is not valid YAML" },
        { "services: &a [ *a ]", "too deep or too large" },
        { aliases, "too deep or too large" },
        { "- services", "a.yaml:1:1: : is a list; expected a group of fields" },
        { "services: []\n---\nteams: []\n", "has 2 documents" },
        { "? [a]\n: b\n", "a field name is not text" },
        { std::string(maximumFileBytes + 1, '#'), "is too long; expected 0 to 1048576 bytes" },
        { "services:\n  - { name: 5, kind: plain }", "a.yaml:2:13: /services/0/name: is a number; expected text" },
        { "services:\n  - { name: \"5\", kind: plain, importance: \"5\" }", "/services/0/importance: is \"5\"; expected a whole number" },
        { "services:\n  - { name: a, kind: plain, importance: -1 }", "is -1; expected a whole number from 0 to 100" },
        { "services:\n  - { name: a, kind: plain, importance: 99999999999999999999 }", "expected a whole number" },
        { "services:\n  - { name: " + std::string(64, 'a') + ", kind: plain }", "has 64 bytes; expected 1 to 63 bytes" },
        { "services:\n  - { kind: plain }", "a.yaml:2:5: /services/0: the field \"name\" is missing" },
        { "services:\n  - { name: a, kind: plain }\n  - { name: a, kind: plain }", "a.yaml:3:5: services/a: occurs more than once" },
        { "services:\n  - { name: a, kind: plain, minimumServers: 3 }", "a.yaml:2:5: services/a: minimumServers: is 3; expected 0 to maximumServers (1)" },
        { "services:\n  - { name: a, kind: model }", "services/a: versions: a model needs at least one version" },
        { "services:\n  - { name: a, kind: model, versions: [ { name: v, weights: w, weight: 0 } ] }", "needs a weight above 0" },
        { "services:\n  - { name: a, kind: plain, versions: [ { name: v, weights: w } ] }", "a plain service has none" },
        { "services:\n  - { name: a, kind: model, versions: [ { name: v, weights: w } ], operations: [ { name: o, method: GET, pathPrefix: /, idempotency: idempotent } ] }", "a model has none; only plain services do" },
        { "services:\n  - { name: a, kind: plain, operations: [ { name: o, method: GET, pathPrefix: x, idempotency: idempotent } ] }", "expected a path beginning with" },
        { "services:\n  - { name: a, kind: plain, operations: [ { name: o, method: get, pathPrefix: /, idempotency: idempotent } ] }", "expected GET, HEAD" },
        { "services:\n  - { name: a, kind: plain, operations: [ { name: o, method: GET, pathPrefix: / } ] }", "the field \"idempotency\" is missing" },
        { "services:\n  - name: a\n    kind: plain\n    operations: [ { name: o, method: GET, pathPrefix: /, idempotency: idempotent }, { name: p, method: GET, pathPrefix: /p, idempotency: idempotent } ]", "\"p\" is never reached" },
        { "teams:\n  - { name: t, keyDigests: [" + digestA + "], services: [nowhere] }", "a.yaml:2:5: teams/t: services: \"nowhere\" is not one of the services" },
        { "places:\n  - dataCentre: d\n    region: r\n    machineClasses: [ { name: m, zone: z, reclaimablePrice: 1, onDemandPrice: 2, capacity: 0, maximumHosts: 1 } ]", "/places/0/machineClasses/0/capacity: is 0; expected a whole number from 1" },
    };
    for (auto const& [text, expected] : cases) {
        SCOPED_TRACE(text.substr(0, 100));
        EXPECT_THAT(load(text), ElementsAre(HasSubstr(expected)));
    }
}

// Guards against two teams that share a key, which would make the team of a request depend on the order of the list.
TEST_F(LoaderTest, RefusesKeySharedByTwoTeams)
{
    write("a.yaml", validServices);
    write("b.yaml", "teams:\n  - { name: a, keyDigests: [" + digestA + "], services: [advisor] }\n  - { name: b, keyDigests: [" + digestA + "], services: [advisor] }\n");
    EXPECT_THAT(load(), ElementsAre("b.yaml:3:5: teams/b: keyDigests: aaaaaaaaaaaa... is also a digest of teams/a; expected one team for each key"));
}

// Guards against a mistyped path that would be applied as an empty state and remove everything.
TEST_F(LoaderTest, RefusesDirectoryWithoutFiles)
{
    EXPECT_THAT(load(), ElementsAre(HasSubstr("has no files named *.yaml")));
    std::filesystem::remove_all(m_directory);
    EXPECT_THAT(load(), ElementsAre(HasSubstr("cannot be read")));
}

TEST(ValidateTest, ChecksRangesOfStateBuiltInMemory)
{
    auto state = exampleState();
    EXPECT_TRUE(validate(state).empty());
    state.teams[0].share = 0;
    state.places[0].machineClasses[1].zone = "Zone B";
    ASSERT_EQ(validate(state).size(), 2U);
    EXPECT_THAT(validate(state)[0].toString(), StartsWith("teams/classroom: share: is 0; expected"));
    EXPECT_THAT(validate(state)[1].toString(), StartsWith("places/south-1: machineClasses/1/zone: is \"Zone B\""));
}

// Guards against a state that the object API refuses only when it is applied.
TEST(ValidateTest, RefusesStateOverTheSizeLimit)
{
    auto state = exampleState();
    for (int index = 0; index < 700; ++index) {
        Service service { "s" + std::to_string(index), ServiceKind::Model, {}, {}, {}, {}, 50, 1, 1 };
        for (int version = 0; version < 5; ++version)
            service.versions.push_back({ "v" + std::to_string(version), std::string(250, 'w'), 1 });
        state.services.push_back(service);
    }
    auto const errors = validate(state);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_THAT(errors[0].toString(), HasSubstr("bytes as JSON; expected 0 to 786432"));
}
