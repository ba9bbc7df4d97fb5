#include <Hyssopstep/OperatorConnection.h>

#include <LibHTTP/Client.h>
#include <LibHTTP/Problem.h>
#include <algorithm>
#include <iterator>

namespace Hyssopstep {

using namespace std::chrono_literals;

// The delay between two passes over the list of nodes.
static constexpr Core::Duration roundDelay = 500ms;

namespace {

struct SendParameters {
    std::vector<Core::Endpoint> const& endpoints;
    HTTP::Request const& request;
    RetryPolicy retryPolicy;
    std::chrono::milliseconds timeout;
};

/// Whether another node may succeed: this one is draining, has no configuration, or cannot reach the object API.
bool shouldTryNextNode(HTTP::Response const& response)
{
    return response.status == 503;
}

Core::Awaitable<std::optional<HTTP::Response>> sendWithFailover(Core::Runtime& runtime, HTTP::Client& client, SendParameters const& parameters, Core::Error& error)
{
    auto const deadline = runtime.now() + parameters.timeout;
    std::optional<HTTP::Response> lastResponse;
    auto runState = Core::RunState::NotRun;
    for (;;) {
        for (auto const& endpoint : parameters.endpoints) {
            // Splits the timeout evenly, so that an unresponsive node leaves time for the others.
            Core::Duration const attemptTimeout = parameters.timeout / std::max<std::ptrdiff_t>(std::ssize(parameters.endpoints), 1);
            auto const attemptDeadline = std::min(deadline, runtime.now() + attemptTimeout);
            auto response = co_await client.send(endpoint, parameters.request, HTTP::ConnectionUse::NewConnection, attemptDeadline, error);
            if (response && !shouldTryNextNode(*response))
                co_return response;
            auto const nodeRunState = response ? HTTP::parseProblem(*response).value_or(Core::Error { .runState = Core::RunState::Unknown }).runState : error.runState;
            if (nodeRunState != Core::RunState::NotRun)
                runState = Core::RunState::Unknown;
            if (response)
                lastResponse = std::move(response);
            else
                error.message = endpoint.toString() + ": " + error.message;
            if (runState != Core::RunState::NotRun && parameters.retryPolicy == RetryPolicy::OnlyIfNotRun) {
                error.runState = runState;
                co_return lastResponse;
            }
        }
        if (runtime.now() + roundDelay >= deadline)
            break;
        co_await runtime.sleepFor(roundDelay);
    }
    error.runState = runState;
    co_return lastResponse;
}

}

std::optional<HTTP::Response> sendToNodes(std::vector<Core::Endpoint> const& endpoints, HTTP::Request const& request, RetryPolicy retryPolicy, std::chrono::milliseconds timeout, Core::Error& error)
{
    boost::asio::io_context context;
    Core::Runtime runtime(context);
    HTTP::Client client(runtime, {});
    std::optional<HTTP::Response> response;
    auto task = [](Core::Runtime& runtime, HTTP::Client& client, SendParameters parameters, Core::Error& error, std::optional<HTTP::Response>& response) -> Core::Awaitable<void> {
        response = co_await sendWithFailover(runtime, client, parameters, error);
        runtime.context().stop();
    };
    SendParameters const parameters { endpoints, request, retryPolicy, timeout };
    runtime.spawn(task(runtime, client, parameters, error, response));
    context.run();
    return response;
}

}
