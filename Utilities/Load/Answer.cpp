#include <Load/Answer.h>

#include <LibHTTP/Problem.h>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Load {

namespace json = boost::json;

// The content of the first choice: choices[0].message.content, .delta.content or .text.
static std::optional<std::string> choiceText(json::object const& answer)
{
    auto const* choices = answer.if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty() || !choices->as_array().front().is_object())
        return std::nullopt;
    auto const& choice = choices->as_array().front().as_object();
    auto const* text = choice.if_contains("text");
    for (auto const* part : { "message", "delta" }) {
        if (auto const* content = choice.if_contains(part); content && content->is_object())
            text = content->as_object().if_contains("content");
    }
    // The first and the last event of a streamed answer may have no content.
    return text && text->is_string() ? std::string(text->as_string()) : std::string();
}

static std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = json::parse({ text.data(), text.size() }, error);
    if (error || !value.is_object())
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

std::uint64_t consumeEvent(StreamedAnswer& answer, HTTP::ServerSentEvent const& event)
{
    if (event.data == "[DONE]") {
        answer.done = true;
        return 0;
    }
    auto const object = parseObject(event.data);
    auto const text = object ? choiceText(*object) : std::nullopt;
    if (!text) {
        answer.problem = HTTP::parseProblem({ 500, {}, event.data });
        if (!answer.problem)
            answer.problem = Core::Error { Core::ErrorKind::BackendAnswerInvalid, Core::RunState::Unknown, "an event is neither a completion nor a problem", {} };
        return 0;
    }
    std::uint64_t number = answer.lastEventNumber + 1;
    std::from_chars(event.id.data(), event.id.data() + event.id.size(), number);
    answer.sequenceErrors += number == answer.lastEventNumber + 1 ? 0 : 1;
    answer.lastEventNumber = number;
    if (!event.id.empty())
        answer.lastEventId = event.id;
    auto const tokens = countTokens(*text);
    answer.tokens += tokens;
    answer.text += *text;
    return tokens;
}

std::optional<std::string> parseWholeAnswer(std::string const& body)
{
    auto const object = parseObject(body);
    return object ? choiceText(*object) : std::nullopt;
}

}
