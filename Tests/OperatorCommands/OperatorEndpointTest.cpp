#include <LibConfiguration/Fixtures.h>
#include <LibHTTP/Client.h>
#include <Node/OperatorEndpoint.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <gmock/gmock.h>
#include <thread>

using namespace std::chrono_literals;
using namespace Configuration;
using testing::HasSubstr;
using testing::Not;

namespace {

/// The result of running the binary.
struct CommandResult {
    int exitCode { -1 };
    /// Standard output and standard error.
    std::string output;
};

/// Runs an operator endpoint on an in-memory store, and the binary as its client.
class OperatorEndpointTest : public testing::Test {
protected:
    void start(std::string const& operatorKey = {})
    {
        auto drain = [this]() -> boost::json::value { ++m_drains; return boost::json::object { { "streams", 3 } }; };
        auto explain = [](std::string const& id) -> std::optional<boost::json::value> {
            if (id != "a b")
                return std::nullopt;
            return boost::json::object { { "request", id } };
        };
        m_endpoint.emplace(Node::OperatorDependencies {
            m_runtime, m_metrics, m_configuration,
            [this] { return m_appliedState ? &*m_appliedState : nullptr; },
            [this](AppliedState const& state) { m_appliedState = state; },
            []() -> boost::json::value { return boost::json::object { { "nodes", { boost::json::object { { "id", "n1" }, { "state", "live" } } } } }; },
            explain, drain,
            [this]() -> boost::json::value { return boost::json::object { { "ready", m_appliedState.has_value() } }; },
            operatorKey.empty() ? std::string() : keyDigest(operatorKey) });
        m_server.emplace(m_runtime, HTTP::ServerLimits {}, [this](HTTP::Request const& request, HTTP::ResponseWriter& writer) { return m_endpoint->handle(request, writer); });
        Core::Error error;
        auto const bound = m_server->listen({ "127.0.0.1", 0 }, error);
        ASSERT_TRUE(bound) << error.message;
        m_address = *bound;
    }

    HTTP::Response send(std::string method, std::string target, std::string body = {}, HTTP::Headers headers = {})
    {
        std::optional<HTTP::Response> response;
        auto task = [](OperatorEndpointTest& test, HTTP::Request request, std::optional<HTTP::Response>& response) -> Core::Awaitable<void> {
            HTTP::Client client(test.m_runtime, {});
            Core::Error error;
            response = co_await client.send(test.m_address, request, HTTP::ConnectionUse::NewConnection, test.m_runtime.now() + 10s, error);
            test.m_context.stop();
        };
        HTTP::Request request { std::move(method), std::move(target), std::move(headers), std::move(body) };
        m_runtime.spawn(task(*this, request, response));
        m_context.restart();
        m_context.run();
        return response.value_or(HTTP::Response { 0, {}, "no response" });
    }

    /// Runs the binary through a shell while the endpoint handles requests. The first node in its list is unreachable.
    CommandResult runCommand(std::string const& arguments)
    {
        CommandResult result;
        std::thread thread([&] {
            auto const line = "USER=mirela HYSSOPSTEP_OPERATOR=127.0.0.1:1," + m_address.toString() + " " HYSSOPSTEP_BINARY " " + arguments + " 2>&1 </dev/null";
            auto* pipe = popen(line.c_str(), "r");
            char buffer[4096];
            while (auto const count = fread(buffer, 1, sizeof(buffer), pipe))
                result.output.append(buffer, count);
            result.exitCode = WEXITSTATUS(pclose(pipe));
            m_context.stop();
        });
        m_context.restart();
        m_context.run();
        thread.join();
        return result;
    }

    std::string applyBody(std::uint64_t basedOn, std::string id, std::uint32_t limit) const
    {
        ApplyRequest request { basedOn, std::move(id), "joost", "season", ConfigurationTests::exampleState() };
        request.desired.teams[0].limits.requestsPerSecond = limit;
        return boost::json::serialize(toJson(request));
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
    Core::Metrics m_metrics;
    ConfigurationTests::FakeObjectStore m_store { m_runtime, 1, 0 };
    ConfigurationStore m_configuration { m_runtime, m_store };
    std::optional<AppliedState> m_appliedState;
    std::optional<Node::OperatorEndpoint> m_endpoint;
    std::optional<HTTP::Server> m_server;
    Core::Endpoint m_address;
    int m_drains { 0 };
};

std::string const cypressHollow = " -f " EXAMPLES_DIRECTORY "/cypress-hollow";
std::string const vitrinezorg = " -f " EXAMPLES_DIRECTORY "/vitrinezorg";

}

TEST_F(OperatorEndpointTest, AppliesAndReportsConflictWithItsAuthor)
{
    start();
    EXPECT_EQ(send("GET", "/readyz").status, 503U);
    auto const first = send("PUT", "/operator/desired-state", applyBody(0, "a", 10));
    EXPECT_EQ(first.status, 200U) << first.body;
    EXPECT_EQ(m_appliedState->generation, 1U);
    EXPECT_EQ(send("GET", "/readyz").status, 200U);
    EXPECT_THAT(send("PUT", "/operator/desired-state", applyBody(0, "a", 10)).body, HasSubstr("\"already_accepted\""));

    auto const late = send("PUT", "/operator/desired-state", applyBody(0, "b", 20));
    EXPECT_EQ(late.status, 409U);
    auto const body = boost::json::parse(late.body);
    EXPECT_EQ(body.at("kind"), "apply_conflict");
    EXPECT_EQ(body.at("entriesSince").at(0).at("appliedBy"), "joost");
    EXPECT_THAT(send("GET", "/metrics").body, HasSubstr("hyssopstep_applies_total{result=\"conflict\"} 1"));
}

// Guards against accepting a malformed or invalid body, and against error responses that report only the first of several errors.
TEST_F(OperatorEndpointTest, RefusesBadRequests)
{
    start();
    EXPECT_EQ(send("PUT", "/operator/desired-state", "{").status, 400U);
    auto const invalid = send("PUT", "/operator/desired-state", R"({"basedOnGeneration":0,"applyId":"","appliedBy":"x","desired":{"teem":[]}})");
    EXPECT_EQ(invalid.status, 422U);
    EXPECT_EQ(boost::json::parse(invalid.body).at("faults").as_array().size(), 2U) << invalid.body;
    EXPECT_EQ(send("DELETE", "/operator/desired-state").status, 405U);
    EXPECT_EQ(send("GET", "/operator/drain").status, 405U);
    EXPECT_EQ(send("GET", "/operator/nothing").status, 404U);
    EXPECT_EQ(send("GET", "/operator/explain").status, 400U);
    EXPECT_EQ(send("GET", "/operator/explain?request=x").status, 404U);
    for (auto const* limit : { "0", "1001", "x", "-1", "" })
        EXPECT_EQ(send("GET", std::string("/operator/audit?limit=") + limit).status, 400U) << limit;
    EXPECT_EQ(m_drains, 0);
    EXPECT_TRUE(m_store.objects.empty());
}

// Guards against accepting operator calls without the key, and against requiring it for health checks.
TEST_F(OperatorEndpointTest, RequiresTheOperatorKey)
{
    start("secret");
    for (auto const* value : { "", "Bearer", "Bearer wrong", "secret", "Basic secret" })
        EXPECT_EQ(send("GET", "/operator/status", "", { { "Authorization", value } }).status, 401U) << value;
    EXPECT_EQ(send("PUT", "/operator/desired-state", applyBody(0, "a", 10)).status, 401U);
    EXPECT_EQ(send("GET", "/operator/status", "", { { "Authorization", "Bearer secret" } }).status, 200U);
    for (auto const* path : { "/healthz", "/metrics" })
        EXPECT_EQ(send("GET", path).status, 200U);
    EXPECT_EQ(send("GET", "/readyz").status, 503U);
    EXPECT_EQ(runCommand("status").exitCode, 1);
    EXPECT_EQ(runCommand("status --operator_key=secret").exitCode, 0);
}

// Guards against an operator endpoint that shows no state while the object API is down.
TEST_F(OperatorEndpointTest, ShowsTheNodesOwnStateInAnOutage)
{
    start();
    (void)send("PUT", "/operator/desired-state", applyBody(0, "a", 10));
    m_store.nextFaults.resize(2, ConfigurationTests::StoreFault::NotExecuted);
    auto const response = boost::json::parse(send("GET", "/operator/desired-state").body);
    EXPECT_EQ(response.at("source"), "node");
    EXPECT_EQ(response.at("generation"), 1);
    EXPECT_THAT(send("GET", "/operator/audit").body, HasSubstr("\"appliedBy\":\"joost\""));
}

// Guards against an audit trail that lacks the entries moved to the archive.
TEST_F(OperatorEndpointTest, ShowsArchivedAuditEntries)
{
    start();
    for (std::uint32_t generation = 0; generation < 70; ++generation)
        ASSERT_EQ(send("PUT", "/operator/desired-state", applyBody(generation, "id-" + std::to_string(generation), generation + 1)).status, 200U);
    ASSERT_LE(m_appliedState->audit.size(), 64U);
    for (std::size_t const limit : { 5U, 50U, 100U }) {
        auto const body = boost::json::parse(send("GET", "/operator/audit?limit=" + std::to_string(limit)).body);
        auto const& entries = body.at("entries").as_array();
        ASSERT_EQ(entries.size(), std::min<std::size_t>(limit, 70));
        for (std::size_t index = 0; index < entries.size(); ++index)
            EXPECT_EQ(entries[index].at("generation"), 70 - static_cast<int>(index));
        EXPECT_EQ(body.at("isComplete"), limit == 100);
    }
}

// Guards against operator commands that do not work in sequence, or that fail if the first node in the list is unreachable.
TEST_F(OperatorEndpointTest, CommandsApplyAndShow)
{
    start();
    EXPECT_EQ(runCommand("apply" + cypressHollow).exitCode, 1) << "apply without a confirmation";
    EXPECT_FALSE(m_appliedState);
    auto const applied = runCommand("apply --yes --comment='first state'" + cypressHollow);
    EXPECT_EQ(applied.exitCode, 0) << applied.output;
    EXPECT_THAT(applied.output, HasSubstr("services/advisor: added"));
    EXPECT_THAT(applied.output, HasSubstr("applied as generation 1"));
    auto const repeated = runCommand("apply --yes --output=json" + cypressHollow);
    EXPECT_EQ(repeated.exitCode, 0) << repeated.output;
    EXPECT_EQ(boost::json::parse(repeated.output).at("outcome"), "unchanged");
    auto const difference = runCommand("diff" + vitrinezorg);
    EXPECT_EQ(difference.exitCode, 0);
    EXPECT_THAT(difference.output, HasSubstr("services/storefront: removed"));
    auto const audit = runCommand("audit");
    EXPECT_THAT(audit.output, HasSubstr("by mirela: first state\n"));
    EXPECT_THAT(runCommand("status").output, HasSubstr("id  state\n  n1  live"));
    EXPECT_THAT(runCommand("explain 'a b'").output, HasSubstr("request: a b"));
    EXPECT_EQ(runCommand("explain").exitCode, 2);
}

// Guards against reporting success to both of two conflicting applies, and against reporting a definite outcome for an apply whose
// response was lost without reading it back.
TEST_F(OperatorEndpointTest, ApplyReportsConflictsAndResolvesLostAnswers)
{
    start();
    (void)send("PUT", "/operator/desired-state", applyBody(0, "a", 10));
    // The command reads an outdated state from this node, since another operator's apply is in progress.
    auto const stale = *m_appliedState;
    (void)send("PUT", "/operator/desired-state", applyBody(1, "b", 20));
    m_appliedState = stale;
    m_store.nextFaults = { ConfigurationTests::StoreFault::NotExecuted };
    auto const conflict = runCommand("apply --yes" + cypressHollow);
    EXPECT_EQ(conflict.exitCode, 3) << conflict.output;
    EXPECT_THAT(conflict.output, HasSubstr("generation 2, "));
    EXPECT_THAT(conflict.output, HasSubstr("by joost: season\n  teams/classroom: limits.requestsPerSecond: 10 -> 20"));

    using ConfigurationTests::StoreFault;
    m_store.nextFaults = { StoreFault::None, StoreFault::None, StoreFault::ResponseLost, StoreFault::NotExecuted };
    auto const resolved = runCommand("apply --yes" + cypressHollow);
    EXPECT_EQ(resolved.exitCode, 0) << resolved.output;
    EXPECT_THAT(resolved.output, HasSubstr("applied as generation 3"));
    EXPECT_EQ(m_store.history.size(), 3U);
}

// Guards against draining a node other than the intended one.
TEST_F(OperatorEndpointTest, DrainNeedsExactlyOneNode)
{
    start();
    EXPECT_EQ(runCommand("drain").exitCode, 2);
    EXPECT_EQ(m_drains, 0);
    auto const drained = runCommand("drain --operator=" + m_address.toString());
    EXPECT_EQ(drained.exitCode, 0);
    EXPECT_THAT(drained.output, HasSubstr("streams: 3"));
    EXPECT_EQ(m_drains, 1);
    EXPECT_EQ(runCommand("drain --operator=127.0.0.1:1 --operator_timeout_ms=700").exitCode, 1);
}

// Guards against retrying a call that may have taken effect, and against not retrying a call that is safe to repeat.
TEST_F(OperatorEndpointTest, OnlyRepeatableCallsAreSentAgain)
{
    int calls = 0;
    auto sendHeadersOnly = [&calls](HTTP::Request const&, HTTP::ResponseWriter& writer) -> Core::Awaitable<void> {
        ++calls;
        HTTP::Headers headers;
        (void)co_await writer.begin(200, headers);
    };
    HTTP::Server server(m_runtime, {}, sendHeadersOnly);
    Core::Error error;
    m_address = server.listen({ "127.0.0.1", 0 }, error).value();
    auto const drained = runCommand("drain --operator_timeout_ms=1300 --operator=" + m_address.toString());
    EXPECT_EQ(drained.exitCode, 1);
    EXPECT_THAT(drained.output, HasSubstr("(unknown)"));
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(runCommand("status --operator_timeout_ms=1300").exitCode, 1);
    EXPECT_GE(calls, 3);
}

// Guards against invalid settings that are ignored, and against reporting only the first of several.
TEST_F(OperatorEndpointTest, CommandsReportEveryInvalidSetting)
{
    start();
    auto const invalid = runCommand("audit --limit=0 --output=xml --operator=localhost:1 --comment=x --operator_timeout_ms=soon");
    EXPECT_EQ(invalid.exitCode, 2);
    for (auto const* line : { "--comment: unknown flag", "--limit=\"0\": expected 1 to 1000 entries", "--output=\"xml\": expected text or json", "--operator=\"localhost:1\": expected an IP address", "--operator_timeout_ms=\"soon\": expected a value of type int32" })
        EXPECT_THAT(invalid.output, HasSubstr(line));
    auto const help = runCommand("audit --help");
    EXPECT_EQ(help.exitCode, 0);
    EXPECT_THAT(help.output, HasSubstr("--limit  (int32, entries, 1 to 1000; default 20; HYSSOPSTEP_LIMIT)"));
    EXPECT_THAT(help.output, Not(HasSubstr("--comment")));
}

// Guards against examples that do not match the schema.
TEST_F(OperatorEndpointTest, ExamplesAreValid)
{
    start();
    for (auto const& example : { cypressHollow, vitrinezorg }) {
        auto const result = runCommand("validate" + example);
        EXPECT_EQ(result.exitCode, 0) << result.output;
        EXPECT_THAT(result.output, HasSubstr("valid: 2 services, 5 teams, 4 places"));
    }
}
