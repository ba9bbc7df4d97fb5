#include <Load/CompletionResponse.h>

#include <LibHTTP/Problem.h>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Load {

namespace json = boost::json;

// Returns the text of the first choice: choices[0].message.content, .delta.content or .text.
static std::optional<std::string> choiceText(json::object const& response)
{
    auto const* choices = response.if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty() || !choices->as_array().front().is_object())
        return std::nullopt;
    auto const& choice = choices->as_array().front().as_object();
    auto const* text = choice.if_contains("text");
    for (auto const* part : { "message", "delta" }) {
        if (auto const* content = choice.if_contains(part); content && content->is_object())
            text = content->as_object().if_contains("content");
    }
    // The first and the last chunk of a streamed response may have no content.
    return text && text->is_string() ? std::string(text->as_string()) : std::string();
}

static std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code errorCode;
    auto value = json::parse({ text.data(), text.size() }, errorCode);
    if (errorCode || !value.is_object())
        return std::nullopt;
    return value.as_object();
}

std::uint64_t countTokens(std::string_view text)
{
    std::uint64_t tokens = 0;
    bool inToken = false;
    for (char const character : text) {
        bool const isSpace = character == ' ' || character == '\n';
        tokens += !isSpace && !inToken ? 1 : 0;
        inToken = !isSpace;
    }
    return tokens;
}

std::uint64_t consumeEvent(StreamedResponse& response, HTTP::ServerSentEvent const& event)
{
    if (event.data == "[DONE]") {
        response.done = true;
        return 0;
    }
    auto const object = parseObject(event.data);
    auto const text = object ? choiceText(*object) : std::nullopt;
    if (!text) {
        response.problem = HTTP::parseProblem({ 500, {}, event.data });
        if (!response.problem)
            response.problem = Core::Error { Core::ErrorKind::BackendAnswerInvalid, Core::RunState::Unknown, "stream event is neither a completion chunk nor a problem details object", {} };
        return 0;
    }
    std::uint64_t number = response.lastEventNumber + 1;
    std::from_chars(event.id.data(), event.id.data() + event.id.size(), number);
    response.sequenceErrors += number == response.lastEventNumber + 1 ? 0 : 1;
    response.lastEventNumber = number;
    if (!event.id.empty())
        response.lastEventId = event.id;
    auto const tokens = countTokens(*text);
    response.tokens += tokens;
    response.text += *text;
    return tokens;
}

std::optional<std::string> parseCompletionText(std::string const& body)
{
    auto const object = parseObject(body);
    return object ? choiceText(*object) : std::nullopt;
}

}
