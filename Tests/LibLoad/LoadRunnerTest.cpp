#include <LibHTTP/Problem.h>
#include <LibHTTP/Server.h>
#include <Load/LoadRunner.h>
#include <gtest/gtest.h>
#include <thread>

using namespace std::chrono_literals;
using Core::Awaitable;

namespace {

// Mimics the opaque event ids of nodes: a number and a hash of the tokens so far.
std::string positionAfter(int number)
{
    return std::to_string(number) + "-h" + std::to_string(number * 7);
}

HTTP::ServerSentEvent tokenEvent(int number)
{
    return { positionAfter(number), R"({"choices":[{"text":"t "}]})" };
}

class LoadRunnerTest : public testing::Test {
protected:
    Load::RunStatistics run(HTTP::Handler handler, std::string const& classes, Core::Duration drainTime = 2s)
    {
        HTTP::Server server(m_runtime, {}, std::move(handler));
        Core::Error error;
        auto const bound = server.listen({ "127.0.0.1", 0 }, error);
        auto mix = Load::parseMix("{ name: test, teams: [{ name: a }], classes: [" + classes + "] }", error);
        EXPECT_TRUE(bound && mix) << error.message;
        Load::RunSettings settings;
        // Nothing listens on port 1, so half of the first connections are refused.
        settings.targets = { *bound, { "127.0.0.1", 1 } };
        settings.duration = 300ms;
        settings.drainTime = drainTime;
        Load::LoadRunner runner(m_runtime, m_client, *mix, settings, [this](boost::json::object const& line) { m_trace.push_back(line); });
        Load::RunStatistics statistics;
        auto const wrapper = [](Load::LoadRunner& runner, Load::RunStatistics& statistics, boost::asio::io_context& context) -> Awaitable<void> {
            statistics = co_await runner.run();
            context.stop();
        };
        m_runtime.spawn(wrapper(runner, statistics, m_context));
        m_context.run();
        return statistics;
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
    HTTP::Client m_client { m_runtime, {} };
    std::vector<boost::json::object> m_trace;
};

}

// Guards against requests that are counted twice or not at all: each one succeeds, fails or is open at the end.
TEST_F(LoadRunnerTest, CountsEveryRequestOnce)
{
    int calls = 0;
    auto const handler = [&](HTTP::Request const&, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        auto const call = calls++;
        if (call % 4 == 0)
            co_await m_runtime.sleepFor(60s);
        HTTP::Response response;
        Core::Error error;
        Core::fail(error, Core::ErrorKind::OutcomeUnknown, "", Core::RunState::Unknown);
        if (call % 4 == 1)
            response = HTTP::problemResponse(error);
        (void)co_await writer.send(std::move(response));
    };
    auto const all = run(handler, "{ name: x, kind: service, service: s, ratePerSecond: 200, idempotencyKey: true }", 200ms).total();
    EXPECT_GT(all.intended, 20u);
    EXPECT_EQ(all.intended, all.succeeded + all.failed() + all.openAtEnd);
    EXPECT_EQ(all.openAtEnd, (all.intended + 3) / 4);
    EXPECT_EQ(all.openAge.count(), all.openAtEnd);
    EXPECT_EQ(all.failures.begin()->first, (Load::Failure { "answer", "outcome_unknown", "unknown" }));
    EXPECT_EQ(all.total.count(), all.succeeded);
    EXPECT_GT(all.redirected, 0u);
    EXPECT_EQ(m_trace.size(), all.succeeded + all.failed());
}

// Guards against latencies that omit the time a request waited in the load tool (coordinated omission).
TEST_F(LoadRunnerTest, LatencyCountsFromTheIntendedArrival)
{
    bool isFirst = true;
    auto const handler = [&](HTTP::Request const&, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        // Blocks the event loop and thereby the arrivals, like a stalled load tool.
        if (std::exchange(isFirst, false))
            std::this_thread::sleep_for(200ms);
        HTTP::Response response;
        (void)co_await writer.send(std::move(response));
    };
    auto const all = run(handler, "{ name: x, kind: service, service: s, ratePerSecond: 300 }").total();
    // Two thirds of the requests arrive during the 200 ms, evenly, so the median is about 50 ms and the 0.9 quantile 170 ms.
    EXPECT_GT(all.total.quantile(0.5), 20'000u);
    EXPECT_GT(all.total.quantile(0.9), 120'000u);
    EXPECT_GT(all.sendDelay.maximum(), 100'000u);
}

// Guards against an interrupted stream that is counted as complete, and against lost or repeated events after a resume.
TEST_F(LoadRunnerTest, ResumesBrokenStreams)
{
    auto const handler = [](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Awaitable<void> {
        bool const isResume = request.method == "GET";
        if (isResume && request.queryParameter("from") != positionAfter(3)) {
            Core::Error error;
            Core::fail(error, Core::ErrorKind::InvalidRequest, "not a position");
            auto problem = HTTP::problemResponse(error);
            (void)co_await writer.send(std::move(problem));
            co_return;
        }
        int const first = isResume ? std::stoi(request.queryParameter("from").value_or("0")) + 1 : 1;
        int const last = isResume ? 6 : 3;
        HTTP::Headers headers { { "Hyssopstep-Request-Id", "r1" } };
        (void)co_await writer.begin(200, std::move(headers));
        for (int number = first; number <= last; ++number)
            (void)co_await writer.write(HTTP::formatEvent(tokenEvent(number)));
        if (!isResume)
            co_return;
        HTTP::ServerSentEvent done { "", "[DONE]" };
        (void)co_await writer.write(HTTP::formatEvent(done));
        (void)co_await writer.finish();
    };
    auto const all = run(handler, "{ name: x, kind: completion, service: m, ratePerSecond: 30, answerTokens: [6, 6], stream: true }").total();
    EXPECT_GT(all.succeeded, 0u);
    EXPECT_EQ(all.succeeded, all.intended);
    EXPECT_EQ(all.resumed, all.intended);
    EXPECT_EQ(all.sequenceErrors, 0u);
    EXPECT_EQ(all.tokens, 6 * all.intended);
    EXPECT_EQ(all.firstToken.count(), all.intended);
    EXPECT_EQ(all.betweenTokens.count(), 5 * all.intended);
}
