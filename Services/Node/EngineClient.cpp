#include <Node/EngineClient.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Node {

namespace json = boost::json;
using Core::ErrorKind;
using Core::RunState;

CompletionStream::CompletionStream(std::unique_ptr<HTTP::ResponseStream> response, std::string attemptId, std::uint64_t firstIndex)
    : m_response(std::move(response))
    , m_attemptId(std::move(attemptId))
    , m_nextIndex(firstIndex)
{
}

Core::Awaitable<std::optional<CompletionProgress>> CompletionStream::read(Core::MonotonicTime deadline, Core::Error& error)
{
    CompletionProgress progress;
    auto const bytes = co_await m_response->readSome(deadline, error);
    if (!bytes)
        co_return std::nullopt;
    if (bytes->empty())
        co_return Core::fail(error, ErrorKind::BackendAnswerInvalid, "the completion ended before its last event", RunState::Unknown);
    for (auto const& event : m_parser.feed(*bytes)) {
        if (!addEvent(event.data, progress, error))
            co_return std::nullopt;
    }
    co_return progress;
}

static std::optional<std::string> stringField(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

static std::optional<std::uint64_t> numberField(json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_number())
        return std::nullopt;
    json::error_code errorCode;
    auto const number = value->to_number<std::uint64_t>(errorCode);
    return errorCode ? std::nullopt : std::optional(number);
}

bool CompletionStream::addEvent(std::string const& data, CompletionProgress& progress, Core::Error& error)
{
    auto const reject = [&](std::string message) {
        Core::fail(error, ErrorKind::BackendAnswerInvalid, std::move(message), RunState::Unknown);
        return false;
    };
    json::error_code errorCode;
    auto const value = json::parse(data, errorCode);
    if (errorCode || !value.is_object())
        return reject("a completion event is not a JSON object");
    auto const& object = value.get_object();
    if (stringField(object, "attemptId") != m_attemptId)
        return reject("a completion event belongs to another attempt");
    if (object.contains("done")) {
        CompletionEnd end;
        end.finishReason = stringField(object, "finishReason").value_or("stop");
        end.cachedTokens = static_cast<std::uint32_t>(numberField(object, "cachedTokens").value_or(0));
        end.prefilledTokens = static_cast<std::uint32_t>(numberField(object, "prefilledTokens").value_or(0));
        progress.end = end;
        return true;
    }
    auto const index = numberField(object, "index");
    auto token = stringField(object, "token");
    if (!index || !token)
        return reject("a completion event has no index or no token");
    if (*index < m_nextIndex)
        return true;
    if (*index > m_nextIndex)
        return reject("completion event " + std::to_string(m_nextIndex) + " is missing");
    ++m_nextIndex;
    progress.tokens.push_back(std::move(*token));
    return true;
}

EngineClient::EngineClient(HTTP::Client& client)
    : m_client(client)
{
}

static HTTP::Request jsonRequest(std::string target, json::object const& body)
{
    HTTP::Request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers.add("Content-Type", "application/json");
    request.body = json::serialize(body);
    return request;
}

static json::array tokenArray(std::vector<std::string> const& tokens)
{
    json::array array;
    array.reserve(tokens.size());
    for (auto const& token : tokens)
        array.emplace_back(token);
    return array;
}

Core::Awaitable<std::unique_ptr<CompletionStream>> EngineClient::complete(Core::Endpoint endpoint, ModelRequest model, CompletionCall call, Core::MonotonicTime deadline, Core::Error& error)
{
    json::object body;
    body["requestId"] = call.requestId;
    body["attemptId"] = call.attemptId;
    body["prompt"] = tokenArray(model.promptTokens);
    body["generated"] = tokenArray(call.generatedTokens);
    body["maxTokens"] = model.maximumTokens;
    body["priority"] = call.priority;
    body["seed"] = model.seed;
    if (!model.adapter.empty())
        body["adapter"] = model.adapter;
    if (!call.stateHandle.empty())
        body["stateHandle"] = call.stateHandle;
    auto request = jsonRequest("/engine/complete", body);
    auto response = co_await m_client.openStream(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, deadline, error);
    if (!response)
        co_return nullptr;
    static constexpr unsigned ok = 200;
    static constexpr unsigned serviceUnavailable = 503;
    if (response->status() == serviceUnavailable) {
        Core::fail(error, ErrorKind::Overloaded, endpoint.toString() + " accepts no new work");
        co_return nullptr;
    }
    if (response->status() != ok) {
        Core::fail(error, ErrorKind::BackendFailed, endpoint.toString() + " returned status " + std::to_string(response->status()), RunState::Unknown);
        co_return nullptr;
    }
    co_return std::make_unique<CompletionStream>(std::move(response), call.attemptId, call.generatedTokens.size());
}

static std::optional<std::string> responseField(std::optional<HTTP::Response> const& response, std::string_view name, Core::Error& error)
{
    if (!response)
        return std::nullopt;
    json::error_code errorCode;
    auto const value = json::parse(response->body, errorCode);
    static constexpr unsigned ok = 200;
    if (response->status != ok || errorCode || !value.is_object())
        return Core::fail(error, ErrorKind::BackendFailed, "the engine returned status " + std::to_string(response->status), RunState::Unknown);
    auto field = stringField(value.get_object(), name);
    if (!field)
        return Core::fail(error, ErrorKind::BackendAnswerInvalid, "the engine's response has no field " + std::string(name), RunState::Unknown);
    return field;
}

Core::Awaitable<std::optional<std::uint64_t>> EngineClient::incarnation(Core::Endpoint endpoint, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request;
    request.method = "GET";
    request.target = "/engine/load";
    auto const response = co_await m_client.send(endpoint, std::move(request), HTTP::ConnectionUse::NewConnection, deadline, error);
    if (!response)
        co_return std::nullopt;
    json::error_code errorCode;
    auto const value = json::parse(response->body, errorCode);
    auto const number = errorCode || !value.is_object() ? std::nullopt : numberField(value.get_object(), "incarnation");
    if (!number)
        co_return Core::fail(error, ErrorKind::BackendAnswerInvalid, "the load report has no incarnation", RunState::Unknown);
    co_return number;
}

Core::Awaitable<std::optional<ExportedState>> EngineClient::exportState(Core::Endpoint endpoint, std::string attemptId, Core::MonotonicTime deadline, Core::Error& error)
{
    json::object body;
    body["attemptId"] = attemptId;
    auto request = jsonRequest("/engine/export", body);
    auto const response = co_await m_client.send(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, deadline, error);
    auto state = responseField(response, "state", error);
    if (!state)
        co_return std::nullopt;
    json::error_code errorCode;
    auto const value = json::parse(response->body, errorCode);
    co_return ExportedState { std::move(*state), numberField(value.get_object(), "tokens").value_or(0) };
}

Core::Awaitable<std::optional<std::string>> EngineClient::importState(Core::Endpoint endpoint, std::string state, Core::MonotonicTime deadline, Core::Error& error)
{
    json::object body;
    body["state"] = state;
    auto request = jsonRequest("/engine/import", body);
    auto const response = co_await m_client.send(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, deadline, error);
    co_return responseField(response, "stateHandle", error);
}

Core::Awaitable<bool> EngineClient::setPriority(Core::Endpoint endpoint, std::string attemptId, std::uint32_t priority, Core::MonotonicTime deadline, Core::Error& error)
{
    json::object body;
    body["attemptId"] = attemptId;
    body["priority"] = priority;
    auto request = jsonRequest("/engine/priority", body);
    auto const response = co_await m_client.send(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, deadline, error);
    co_return response.has_value();
}

}
