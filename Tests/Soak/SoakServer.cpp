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
    return path.starts_with("/stream/") || path.starts_with("/resume/");
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
    static constexpr unsigned misdirectedRequest = 421;
    auto const requestId = std::string(request.headers.find("X-Hyssopstep-Attempt-Id").value_or(""));
    HTTP::Headers headers { { "X-Hyssopstep-Attempt-Id", requestId } };
    if (request.headers.find("X-Hyssopstep-Expect-Instance").value_or("") != m_id) {
        headers.add("X-Hyssopstep-Not-Executed", "1");
        HTTP::Response refusal { misdirectedRequest, std::move(headers), {} };
        (void)co_await writer.send(std::move(refusal));
        co_return;
    }
    m_executionLog.executions[requestId].push_back({ m_id, m_runtime.now() });
    headers.add("X-Hyssopstep-Server-Seal", "seal-" + requestId);
    auto const path = std::string(request.path());
    if (!isStreamPath(path)) {
        co_await m_runtime.sleepFor(workTime);
        HTTP::Response response { 200, std::move(headers), expectedBody(path, requestId) };
        (void)co_await writer.send(std::move(response));
        co_return;
    }
    headers.add("Content-Type", "text/event-stream");
    auto const after = request.headers.find("Last-Event-Id");
    std::uint64_t number = after ? std::stoull(std::string(*after)) : 0;
    bool isConnected = co_await writer.begin(200, std::move(headers));
    while (isConnected && number < eventCount) {
        co_await m_runtime.sleepFor(eventInterval);
        isConnected = co_await writer.write(formatEvent(requestId, ++number));
    }
    if (isConnected)
        (void)co_await writer.finish();
}

}
