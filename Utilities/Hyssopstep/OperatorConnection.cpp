#include <Hyssopstep/OperatorConnection.h>

#include <LibHTTP/Client.h>
#include <LibHTTP/Problem.h>
#include <algorithm>
#include <iterator>

namespace Hyssopstep {

using namespace std::chrono_literals;

// Between two rounds through the list of nodes.
static constexpr Core::Duration roundDelay = 500ms;

namespace {

struct Attempt {
    std::vector<Core::Endpoint> const& endpoints;
    HTTP::Request const& request;
    Repetition repetition;
    std::chrono::milliseconds timeout;
};

/// Whether another node may do better: this one is draining, has no configuration, or does not reach the object API.
bool isWorthAnotherNode(HTTP::Response const& response)
{
    return response.status == 503;
}

Core::Awaitable<std::optional<HTTP::Response>> sendToFirst(Core::Runtime& runtime, HTTP::Client& client, Attempt const& attempt, Core::Error& reason)
{
    auto const deadline = runtime.now() + attempt.timeout;
    std::optional<HTTP::Response> lastAnswer;
    auto runState = Core::RunState::NotRun;
    for (;;) {
        for (auto const& endpoint : attempt.endpoints) {
            // An unresponsive node leaves time for the others.
            Core::Duration const share = attempt.timeout / std::max<std::ptrdiff_t>(std::ssize(attempt.endpoints), 1);
            auto const attemptDeadline = std::min(deadline, runtime.now() + share);
            auto response = co_await client.send(endpoint, attempt.request, HTTP::ConnectionUse::NewConnection, attemptDeadline, reason);
            if (response && !isWorthAnotherNode(*response))
                co_return response;
            auto const outcome = response ? HTTP::parseProblem(*response).value_or(Core::Error { .runState = Core::RunState::Unknown }).runState : reason.runState;
            if (outcome != Core::RunState::NotRun)
                runState = Core::RunState::Unknown;
            if (response)
                lastAnswer = std::move(response);
            else
                reason.message = endpoint.toString() + ": " + reason.message;
            if (runState != Core::RunState::NotRun && attempt.repetition == Repetition::Refused) {
                reason.runState = runState;
                co_return lastAnswer;
            }
        }
        if (runtime.now() + roundDelay >= deadline)
            break;
        co_await runtime.sleepFor(roundDelay);
    }
    reason.runState = runState;
    co_return lastAnswer;
}

}

std::optional<HTTP::Response> sendToNodes(std::vector<Core::Endpoint> const& endpoints, HTTP::Request const& request, Repetition repetition, std::chrono::milliseconds timeout, Core::Error& reason)
{
    boost::asio::io_context context;
    Core::Runtime runtime(context);
    HTTP::Client client(runtime, {});
    std::optional<HTTP::Response> response;
    auto task = [](Core::Runtime& runtime, HTTP::Client& client, Attempt attempt, Core::Error& reason, std::optional<HTTP::Response>& response) -> Core::Awaitable<void> {
        response = co_await sendToFirst(runtime, client, attempt, reason);
        runtime.context().stop();
    };
    Attempt const attempt { endpoints, request, repetition, timeout };
    runtime.spawn(task(runtime, client, attempt, reason, response));
    context.run();
    return response;
}

}
