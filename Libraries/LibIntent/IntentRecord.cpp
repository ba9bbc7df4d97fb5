#include <LibIntent/IntentRecord.h>

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace Intent {

namespace json = boost::json;

// JSON text must be UTF-8, but bodies and header values need not be.
static std::string toBase64(std::string const& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int const length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

static std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    int const length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<unsigned char const*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    std::size_t const padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1
                                                                               : 0;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

static std::string_view stateName(IntentState state)
{
    switch (state) {
    case IntentState::Started:
        return "started";
    case IntentState::Finished:
        return "finished";
    case IntentState::Abandoned:
        break;
    }
    return "abandoned";
}

static std::string_view answerLocationName(AnswerLocation location)
{
    switch (location) {
    case AnswerLocation::Inline:
        return "inline";
    case AnswerLocation::OwnObject:
        return "own_object";
    case AnswerLocation::Omitted:
        break;
    }
    return "omitted";
}

template <typename T, typename Name>
static T parseName(std::string_view text, Name const& name, std::initializer_list<T> values)
{
    for (auto const value : values) {
        if (name(value) == text)
            return value;
    }
    throw std::invalid_argument("unknown value '" + std::string(text) + "'");
}

static json::value answerToJson(RecordedAnswer const& answer)
{
    json::array headers;
    for (auto const& [name, value] : answer.headers)
        headers.push_back(json::array { json::string(name), json::string(toBase64(value)) });
    json::object object;
    object["status"] = answer.status;
    object["headers"] = std::move(headers);
    object["body"] = toBase64(answer.body);
    return object;
}

static std::string decodeBase64Field(json::value const& value)
{
    auto text = fromBase64(value.as_string());
    if (!text)
        throw std::invalid_argument("invalid base64");
    return std::move(*text);
}

static RecordedAnswer answerFromJson(json::value const& value)
{
    RecordedAnswer answer;
    answer.status = value.at("status").to_number<unsigned>();
    for (auto const& header : value.at("headers").as_array())
        answer.headers.emplace_back(header.as_array().at(0).as_string(), decodeBase64Field(header.as_array().at(1)));
    answer.body = decodeBase64Field(value.at("body"));
    return answer;
}

static json::value recordToJson(IntentRecord const& record)
{
    json::object object;
    object["key"] = record.keyDigest;
    object["fingerprint"] = record.fingerprint;
    object["attempt"] = record.attemptId;
    object["writer"] = record.writer;
    object["state"] = stateName(record.state);
    object["startedAt"] = record.startedAt;
    object["deadlineAt"] = record.deadlineAt;
    if (record.state == IntentState::Started)
        return object;
    object["finishedAt"] = record.finishedAt;
    if (record.state == IntentState::Abandoned)
        return object;
    object["answerPlace"] = answerLocationName(record.answerLocation);
    if (record.answerLocation == AnswerLocation::OwnObject)
        object["answerName"] = record.answerName;
    if (record.answer)
        object["answer"] = answerToJson(*record.answer);
    return object;
}

static IntentRecord recordFromJson(json::value const& value)
{
    IntentRecord record;
    record.keyDigest = value.at("key").as_string();
    record.fingerprint = value.at("fingerprint").as_string();
    record.attemptId = value.at("attempt").as_string();
    record.writer = value.at("writer").as_string();
    record.state = parseName(value.at("state").as_string(), stateName, { IntentState::Started, IntentState::Finished, IntentState::Abandoned });
    record.startedAt = value.at("startedAt").to_number<std::uint64_t>();
    record.deadlineAt = value.at("deadlineAt").to_number<std::uint64_t>();
    if (record.state == IntentState::Started)
        return record;
    record.finishedAt = value.at("finishedAt").to_number<std::uint64_t>();
    if (record.state == IntentState::Abandoned)
        return record;
    record.answerLocation = parseName(value.at("answerPlace").as_string(), answerLocationName, { AnswerLocation::Inline, AnswerLocation::OwnObject, AnswerLocation::Omitted });
    if (record.answerLocation == AnswerLocation::OwnObject)
        record.answerName = value.at("answerName").as_string();
    if (record.answerLocation == AnswerLocation::Inline)
        record.answer = answerFromJson(value.at("answer"));
    return record;
}

std::string encodeShard(ShardContent const& content)
{
    json::array records;
    for (auto const& [digest, record] : content.records)
        records.push_back(recordToJson(record));
    json::object object;
    object["sealed"] = content.sealed;
    object["records"] = std::move(records);
    return json::serialize(object);
}

// Boost.JSON throws on missing members and wrong types.
template <typename Parse>
static auto parseJson(std::string_view text, char const* what, Core::Error& error, Parse const& parse) -> std::optional<decltype(parse(json::value {}))>
{
    try {
        return parse(json::parse({ text.data(), text.size() }));
    } catch (std::exception const& exception) {
        return Core::fail(error, Core::ErrorKind::Internal, std::string(what) + " cannot be read: " + exception.what());
    }
}

std::optional<ShardContent> decodeShard(std::string_view text, Core::Error& error)
{
    return parseJson(text, "the intent shard", error, [](json::value const& value) {
        ShardContent content;
        content.sealed = value.at("sealed").as_bool();
        for (auto const& item : value.at("records").as_array()) {
            auto record = recordFromJson(item);
            auto digest = record.keyDigest;
            content.records.emplace(std::move(digest), std::move(record));
        }
        return content;
    });
}

std::string encodeAnswer(RecordedAnswer const& answer)
{
    return json::serialize(answerToJson(answer));
}

std::optional<RecordedAnswer> decodeAnswer(std::string_view text, Core::Error& error)
{
    return parseJson(text, "the recorded answer", error, answerFromJson);
}

}
