#include <StandIns/PlainService.h>

#include <StandIns/StandIns.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <limits>

DEFINE_int32(execution_ms, 2, "duration of the execution of a call in milliseconds");

namespace StandIns {

namespace json = boost::json;

static std::string headerText(HTTP::Request const& request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

PlainService::PlainService(Core::Runtime& runtime, std::chrono::milliseconds executionTime)
    : m_runtime(runtime)
    , m_executionTime(executionTime)
    , m_server(runtime, HTTP::ServerLimits {}, [this](HTTP::Request const& request, HTTP::ResponseWriter& writer) { return handle(request, writer); })
    , m_incarnation(unixMilliseconds(runtime.wallNow()))
{
}

std::optional<Core::Endpoint> PlainService::listen(Core::Endpoint const& endpoint, Core::Error& error)
{
    return m_server.listen(endpoint, error);
}

Core::Awaitable<void> PlainService::shutDown(Core::MonotonicTime deadline)
{
    m_server.stopAccepting();
    (void)co_await m_server.waitUntilDrained(deadline);
    m_server.closeAllConnections();
}

Core::Awaitable<void> PlainService::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    auto const path = request.path();
    if (path == "/service/load") {
        json::object const load { { "running", m_running }, { "leaving", m_leaving }, { "incarnation", m_incarnation }, { "asOfMs", unixMilliseconds(m_runtime.wallNow()) } };
        co_return co_await sendJson(writer, 200, load);
    }
    if (path == "/stand-in/record")
        co_return co_await sendJson(writer, 200, record());
    if (path == "/stand-in/faults") {
        boost::system::error_code errorCode;
        auto const body = json::parse(request.body, errorCode);
        if (errorCode || !body.is_object())
            co_return co_await sendError(writer, 400, "the body is not a JSON object");
        setFaults(body.as_object());
        co_return co_await sendJson(writer, 200, json::object());
    }
    if (m_leaving) {
        ++m_refused;
        auto const attemptId = std::string(request.headers.find("Hyssopstep-Attempt-Id").value_or(""));
        HTTP::Response response { 503, { { "Hyssopstep-Not-Executed", attemptId } }, "" };
        (void)co_await writer.send(std::move(response));
        co_return;
    }
    ++m_running;
    co_await execute(request, writer);
    --m_running;
}

PlainServiceFaults PlainService::takeFaults()
{
    if (m_faults.remainingRequests <= 0)
        return {};
    --m_faults.remainingRequests;
    return m_faults;
}

Core::Awaitable<void> PlainService::execute(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    auto const faults = takeFaults();
    auto const attemptId = headerText(request, "Hyssopstep-Attempt-Id");
    auto const number = m_executions.size() + 1;
    // The execution is recorded before the delay, so that a client that disconnects early has still caused it.
    m_executions.push_back({ { "number", number }, { "method", request.method }, { "path", request.target }, { "body", request.body }, { "idempotencyKey", headerText(request, "Idempotency-Key") }, { "requestId", headerText(request, "Hyssopstep-Request-Id") }, { "attemptId", attemptId }, { "failed", faults.fail }, { "atMs", unixMilliseconds(m_runtime.wallNow()) } });
    auto const previousAttemptId = std::exchange(m_previousAttemptId, attemptId);
    co_await m_runtime.sleepFor(m_executionTime + faults.delay);
    HTTP::Headers headers { { "Content-Type", "application/json" } };
    headers.set("Hyssopstep-Attempt-Id", faults.crossAttempts ? (previousAttemptId.empty() ? "attempt-of-another-request" : previousAttemptId) : attemptId);
    json::object const body { { "execution", number }, { "path", request.target }, { "incarnation", m_incarnation } };
    if (faults.dropAnswer || faults.truncateAnswer) {
        // The server closes the connection when a handler returns without finish().
        if (co_await writer.begin(200, std::move(headers)) && faults.truncateAnswer)
            (void)co_await writer.write(json::serialize(body).substr(0, 5));
        co_return;
    }
    HTTP::Response response { faults.fail ? 500U : 200U, std::move(headers), json::serialize(body) };
    bool const isSent = co_await writer.send(response);
    if (isSent && faults.answerTwice)
        (void)co_await writer.send(std::move(response));
}

void PlainService::setFaults(json::object const& body)
{
    PlainServiceFaults faults;
    faults.delay = std::chrono::milliseconds(integerMember(body, "delayMs", 0));
    faults.dropAnswer = booleanMember(body, "dropAnswer");
    faults.truncateAnswer = booleanMember(body, "truncateAnswer");
    faults.crossAttempts = booleanMember(body, "crossAttempts");
    faults.answerTwice = booleanMember(body, "answerTwice");
    faults.fail = booleanMember(body, "fail");
    faults.remainingRequests = integerMember(body, "requests", std::numeric_limits<std::int64_t>::max());
    m_leaving = m_leaving || booleanMember(body, "leaving");
    m_faults = faults;
}

json::object PlainService::record() const
{
    json::object const totals { { "executions", m_executions.size() }, { "refused", m_refused } };
    return { { "executions", m_executions }, { "totals", totals }, { "incarnation", m_incarnation }, { "leaving", m_leaving } };
}

static void checkSettings(Core::SettingChecker& checker)
{
    static constexpr int maximumMilliseconds = 600'000;
    checker.checkRange("execution_ms", FLAGS_execution_ms, 0, maximumMilliseconds, "milliseconds");
}

int runPlainService(int argc, char** argv)
{
    auto const makeService = [](Core::Runtime& runtime, unsigned) -> std::unique_ptr<Backend> {
        return std::make_unique<PlainService>(runtime, std::chrono::milliseconds(FLAGS_execution_ms));
    };
    return runBackends(argc, argv, "service", checkSettings, makeService);
}

}
