#include <Soak/SoakServer.h>

namespace Soak {

using namespace std::chrono_literals;

static constexpr std::uint64_t eventCount = 8;

static std::string formatEvent(std::string const& requestId, std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + requestId + "\n\n";
}

static bool isStreamPath(std::string_view path)
{
    return path.starts_with("/stream/") || path.starts_with("/resume/") || path.starts_with("/long/");
}

std::size_t ExecutionLog::countExecutions(std::string const& requestId) const
{
    auto const found = executions.find(requestId);
    return found == executions.end() ? 0 : found->second.size();
}

std::string expectedBody(std::string const& path, std::string const& requestId)
{
    if (!isStreamPath(path))
        return "answer to " + requestId + " at " + path;
    std::string body;
    for (std::uint64_t number = 1; number <= eventCount; ++number)
        body += formatEvent(requestId, number);
    return body;
}

SoakServer::SoakServer(Core::Runtime& runtime, ExecutionLog& executionLog, std::string id)
    : m_runtime(runtime)
    , m_executionLog(executionLog)
    , m_id(std::move(id))
    , m_server(runtime, {}, [this](auto const& request, auto& writer) { return handle(request, writer); })
{
}

Core::Awaitable<void> SoakServer::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    static constexpr Core::Duration workTime = 5ms;
    static constexpr Core::Duration eventInterval = 15ms;
    // A long stream lasts two thirds of the grace period.
    static constexpr Core::Duration longEventInterval = 250ms;
    static constexpr std::chrono::milliseconds pause { 1500 };
    static constexpr unsigned misdirectedRequest = 421;
    static constexpr unsigned serviceUnavailable = 503;
    auto const requestId = std::string(request.headers.find("X-Hyssopstep-Attempt-Id").value_or(""));
    auto const path = std::string(request.path());
    bool const asksForPause = m_runtime.now() < m_refusesUntil;
    if (!requestId.empty()) {
        Arrival arrival { .requestId = requestId, .server = m_id, .path = path, .arrivedAt = m_runtime.now() };
        if (auto const deadline = request.headers.find("X-Hyssopstep-Deadline-Ms"))
            arrival.deadline = std::chrono::milliseconds(std::stoll(std::string(*deadline)));
        if (asksForPause)
            arrival.retryAfter = pause;
        m_executionLog.arrivals.push_back(std::move(arrival));
    }
    HTTP::Headers headers { { "X-Hyssopstep-Attempt-Id", requestId } };
    if (asksForPause || m_runtime.now() < m_rejectsUntil) {
        headers.add("X-Hyssopstep-Not-Executed", "1");
        if (asksForPause)
            headers.add("Retry-After", "1.5");
        HTTP::Response refusal { serviceUnavailable, std::move(headers), {} };
        (void)co_await writer.send(std::move(refusal));
        co_return;
    }
    if (request.headers.find("X-Hyssopstep-Expect-Instance").value_or("") != m_id) {
        headers.add("X-Hyssopstep-Not-Executed", "1");
        HTTP::Response refusal { misdirectedRequest, std::move(headers), {} };
        (void)co_await writer.send(std::move(refusal));
        co_return;
    }
    auto& executions = m_executionLog.executions[requestId];
    auto const index = executions.size();
    executions.push_back({ m_id, m_runtime.now() });
    headers.add("X-Hyssopstep-Server-Seal", "seal-" + requestId);
    if (!isStreamPath(path)) {
        co_await m_runtime.sleepFor(workTime);
        HTTP::Response response { 200, std::move(headers), expectedBody(path, requestId) };
        (void)co_await writer.send(std::move(response));
        executions[index].finishedAt = m_runtime.now();
        co_return;
    }
    headers.add("Content-Type", "text/event-stream");
    auto const after = request.headers.find("Last-Event-Id");
    std::uint64_t number = after ? std::stoull(std::string(*after)) : 0;
    bool isConnected = co_await writer.begin(200, std::move(headers));
    while (isConnected && number < eventCount) {
        co_await m_runtime.sleepFor(path.starts_with("/long/") ? longEventInterval : eventInterval);
        isConnected = co_await writer.write(formatEvent(requestId, ++number));
    }
    executions[index].finishedAt = m_runtime.now();
    if (isConnected)
        (void)co_await writer.finish();
}

}
