#include <Node/ModelRequest.h>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <limits>

namespace Node {

namespace json = boost::json;
using Core::ErrorKind;

static constexpr std::uint32_t defaultMaximumTokens = 1024;
static constexpr std::int64_t maximumTokenLimit = 32768;
static constexpr std::size_t maximumPromptTokens = 131072;

static std::nullopt_t failAt(Core::Error& error, std::string_view pointer, std::string_view message)
{
    return Core::fail(error, ErrorKind::InvalidRequest, std::string(pointer) + ": " + std::string(message));
}

static void appendTokens(std::vector<std::string>& tokens, std::string_view text)
{
    static constexpr std::string_view separators = " \t\r\n";
    while (true) {
        auto const start = text.find_first_not_of(separators);
        if (start == std::string_view::npos)
            return;
        text.remove_prefix(start);
        auto const end = std::min(text.find_first_of(separators), text.size());
        tokens.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

static bool hasOnlyFields(json::object const& object, std::initializer_list<std::string_view> allowed, std::string_view pointer, Core::Error& error)
{
    for (auto const& field : object) {
        std::string_view const name { field.key().data(), field.key().size() };
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
            failAt(error, std::string(pointer) + "/" + std::string(name), "unknown or unsupported field");
            return false;
        }
    }
    return true;
}

static std::optional<std::string_view> stringAt(json::object const& object, std::string_view name, std::string_view pointer, Core::Error& error)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_string())
        return failAt(error, std::string(pointer) + "/" + std::string(name), "a string is required");
    return std::string_view(value->get_string());
}

static std::optional<std::int64_t> integerAt(json::object const& object, std::string_view name, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum, Core::Error& error)
{
    auto const* value = object.if_contains(name);
    if (!value)
        return fallback;
    json::error_code errorCode;
    auto const number = value->is_number() ? value->to_number<std::int64_t>(errorCode) : 0;
    if (!value->is_number() || errorCode || number < minimum || number > maximum)
        return failAt(error, "/" + std::string(name), "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum) + " is required");
    return number;
}

static bool readMessages(json::object const& object, ModelRequest& request, Core::Error& error)
{
    auto const* messages = object.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty()) {
        failAt(error, "/messages", "a list with at least one message is required");
        return false;
    }
    std::size_t index = 0;
    for (auto const& message : messages->get_array()) {
        auto const pointer = "/messages/" + std::to_string(index++);
        if (!message.is_object()) {
            failAt(error, pointer, "an object is required");
            return false;
        }
        auto const& fields = message.get_object();
        if (!hasOnlyFields(fields, { "role", "content" }, pointer, error))
            return false;
        auto const role = stringAt(fields, "role", pointer, error);
        if (!role)
            return false;
        static constexpr std::array<std::string_view, 3> roles { "system", "user", "assistant" };
        if (std::find(roles.begin(), roles.end(), *role) == roles.end()) {
            failAt(error, pointer + "/role", "system, user or assistant is required");
            return false;
        }
        auto const content = stringAt(fields, "content", pointer, error);
        if (!content)
            return false;
        request.promptTokens.push_back("<" + std::string(*role) + ">");
        appendTokens(request.promptTokens, *content);
    }
    return true;
}

static bool readPrompt(json::object const& object, ModelRequest& request, Core::Error& error)
{
    auto const prompt = stringAt(object, "prompt", "", error);
    if (!prompt)
        return false;
    appendTokens(request.promptTokens, *prompt);
    if (request.promptTokens.empty()) {
        failAt(error, "/prompt", "must not be empty");
        return false;
    }
    return true;
}

static bool readForm(json::object const& object, ModelRequest& request, Core::Error& error)
{
    auto const* stream = object.if_contains("stream");
    if (!stream)
        return true;
    if (!stream->is_bool()) {
        failAt(error, "/stream", "true or false is required");
        return false;
    }
    request.responseMode = stream->get_bool() ? ResponseMode::Streamed : ResponseMode::Buffered;
    return true;
}

static bool readModel(json::object const& object, ModelRequest& request, Core::Error& error)
{
    auto const model = stringAt(object, "model", "", error);
    if (!model)
        return false;
    auto const colon = model->find(':');
    request.service = model->substr(0, colon);
    if (colon != std::string_view::npos)
        request.adapter = model->substr(colon + 1);
    if (request.service.empty()) {
        failAt(error, "/model", "must not be empty");
        return false;
    }
    return true;
}

std::optional<ModelRequest> parseModelRequest(ModelInterface interface, std::string_view body, Core::Error& error)
{
    json::error_code errorCode;
    json::parse_options options;
    options.max_depth = 16;
    json::stream_parser parser({}, options);
    parser.write(body.data(), body.size(), errorCode);
    if (!errorCode)
        parser.finish(errorCode);
    if (errorCode)
        return failAt(error, "", "the body is not valid JSON: " + errorCode.message());
    auto const value = parser.release();
    if (!value.is_object())
        return failAt(error, "", "a JSON object is required");
    auto const& object = value.get_object();

    ModelRequest request;
    request.interface = interface;
    bool const isChat = interface == ModelInterface::Chat;
    if (!hasOnlyFields(object, { "model", isChat ? "messages" : "prompt", "max_tokens", "stream", "seed", "user" }, "", error))
        return std::nullopt;
    if (!readModel(object, request, error) || !readForm(object, request, error))
        return std::nullopt;
    if (isChat ? !readMessages(object, request, error) : !readPrompt(object, request, error))
        return std::nullopt;
    if (request.promptTokens.size() > maximumPromptTokens)
        return failAt(error, isChat ? "/messages" : "/prompt", "longer than " + std::to_string(maximumPromptTokens) + " tokens");
    auto const maximumTokens = integerAt(object, "max_tokens", defaultMaximumTokens, 1, maximumTokenLimit, error);
    if (!maximumTokens)
        return std::nullopt;
    request.maximumTokens = static_cast<std::uint32_t>(*maximumTokens);
    auto const seed = integerAt(object, "seed", 0, 0, std::numeric_limits<std::int64_t>::max(), error);
    if (!seed)
        return std::nullopt;
    request.seed = static_cast<std::uint64_t>(*seed);
    return request;
}

std::string encodeModelRequest(ModelRequest const& request)
{
    json::object object;
    object["interface"] = request.interface == ModelInterface::Chat ? "chat" : "completion";
    object["form"] = request.responseMode == ResponseMode::Streamed ? "streamed" : "whole";
    object["service"] = request.service;
    object["adapter"] = request.adapter;
    object["maximumTokens"] = request.maximumTokens;
    object["seed"] = request.seed;
    object["deadlineMilliseconds"] = request.deadlineMilliseconds;
    json::array tokens;
    for (auto const& token : request.promptTokens)
        tokens.emplace_back(token);
    object["promptTokens"] = std::move(tokens);
    return json::serialize(object);
}

std::optional<ModelRequest> decodeModelRequest(std::string_view text)
{
    json::error_code errorCode;
    auto const value = json::parse(text, errorCode);
    if (errorCode || !value.is_object())
        return std::nullopt;
    // The text comes from encodeModelRequest() at some node, so a missing or mistyped field makes all of it invalid.
    try {
        auto const& object = value.as_object();
        ModelRequest request;
        request.interface = object.at("interface").as_string() == "chat" ? ModelInterface::Chat : ModelInterface::Completion;
        request.responseMode = object.at("form").as_string() == "streamed" ? ResponseMode::Streamed : ResponseMode::Buffered;
        request.service = std::string(object.at("service").as_string());
        request.adapter = std::string(object.at("adapter").as_string());
        request.maximumTokens = object.at("maximumTokens").to_number<std::uint32_t>();
        request.seed = object.at("seed").to_number<std::uint64_t>();
        request.deadlineMilliseconds = object.at("deadlineMilliseconds").to_number<std::int64_t>();
        for (auto const& token : object.at("promptTokens").as_array())
            request.promptTokens.emplace_back(token.as_string());
        return request;
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

static std::string modelName(ModelRequest const& request)
{
    return request.adapter.empty() ? request.service : request.service + ":" + request.adapter;
}

static json::object responseEnvelope(ModelRequest const& request, std::string_view requestId, std::string_view chatObject)
{
    json::object object;
    object["id"] = std::string(requestId);
    object["object"] = std::string(request.interface == ModelInterface::Chat ? chatObject : "text_completion");
    object["model"] = modelName(request);
    return object;
}

static std::string eventData(ModelRequest const& request, std::string_view requestId, std::string_view text, json::value finishReason)
{
    auto object = responseEnvelope(request, requestId, "chat.completion.chunk");
    json::object choice;
    choice["index"] = 0;
    if (request.interface == ModelInterface::Chat) {
        json::object delta;
        if (!text.empty())
            delta["content"] = std::string(text);
        choice["delta"] = std::move(delta);
    } else {
        choice["text"] = std::string(text);
    }
    choice["finish_reason"] = std::move(finishReason);
    object["choices"] = json::array { std::move(choice) };
    return json::serialize(object);
}

std::string tokenEventData(ModelRequest const& request, std::string_view requestId, std::string_view token)
{
    return eventData(request, requestId, std::string(token) + " ", nullptr);
}

std::string finishEventData(ModelRequest const& request, std::string_view requestId, std::string_view finishReason)
{
    return eventData(request, requestId, "", json::value(json::string(finishReason)));
}

std::string bufferedResponseBody(ModelRequest const& request, std::string_view requestId, std::vector<std::string> const& tokens, std::string_view finishReason)
{
    std::string text;
    for (auto const& token : tokens)
        text += token + " ";
    auto object = responseEnvelope(request, requestId, "chat.completion");
    json::object choice;
    choice["index"] = 0;
    if (request.interface == ModelInterface::Chat) {
        json::object message;
        message["role"] = "assistant";
        message["content"] = text;
        choice["message"] = std::move(message);
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = std::string(finishReason);
    object["choices"] = json::array { std::move(choice) };
    json::object usage;
    usage["prompt_tokens"] = request.promptTokens.size();
    usage["completion_tokens"] = tokens.size();
    usage["total_tokens"] = request.promptTokens.size() + tokens.size();
    object["usage"] = std::move(usage);
    return json::serialize(object);
}

}
