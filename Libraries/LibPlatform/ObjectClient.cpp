#include <LibPlatform/ObjectClient.h>

#include <LibPlatform/JsonFields.h>
#include <LibPlatform/PlatformCall.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Platform {

using Core::ErrorKind;
using Core::RunState;

static std::string objectPath(ObjectKey const& key)
{
    return "/objects/" + key.kind + "/" + key.name;
}

static std::optional<StoredObject> objectFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    StoredObject object { { fields.text("kind"), fields.text("name") }, { 0, fields.number("resourceVersion") }, {} };
    auto const* content = fields.required("value");
    if (!fields.areValid())
        return std::nullopt;
    object.value = boost::json::serialize(*content);
    if (fields.has("status"))
        object.status = boost::json::serialize(*fields.required("status"));
    return object;
}

static std::optional<ObjectList> listFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    ObjectList list;
    list.resourceVersion.number = fields.number("resourceVersion");
    for (auto const& item : fields.elements("items")) {
        auto object = objectFromJson(item);
        if (!object)
            return std::nullopt;
        list.objects.push_back(std::move(*object));
    }
    if (!fields.areValid())
        return std::nullopt;
    return list;
}

static std::optional<ObjectEvent> eventFromLine(std::string_view line)
{
    boost::json::error_code errorCode;
    auto const value = boost::json::parse({ line.data(), line.size() }, errorCode);
    if (errorCode)
        return std::nullopt;
    JsonFields fields(value);
    auto const type = fields.text("type");
    auto const* content = fields.required("object");
    if (!fields.areValid() || (type != "PUT" && type != "REMOVED"))
        return std::nullopt;
    auto object = objectFromJson(*content);
    if (!object)
        return std::nullopt;
    return ObjectEvent { type == "PUT" ? ObjectEventKind::Put : ObjectEventKind::Removed, std::move(*object) };
}

// Parses the complete lines and removes them from the text. Returns nothing if a line is not an event.
static std::optional<std::vector<ObjectEvent>> extractEvents(std::string& text)
{
    std::vector<ObjectEvent> events;
    std::size_t begin = 0;
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        auto event = eventFromLine(std::string_view(text).substr(begin, end - begin));
        if (!event)
            return std::nullopt;
        events.push_back(std::move(*event));
        begin = end + 1;
    }
    text.erase(0, begin);
    return events;
}

static Core::StoreRevision lastVersion(std::vector<ObjectEvent> const& events, Core::StoreRevision afterVersion)
{
    auto version = afterVersion;
    for (auto const& event : events)
        version = std::max(version, event.object.resourceVersion);
    return version;
}

static std::nullopt_t failMalformed(Core::Error& error, RunState runState = RunState::NotRun)
{
    return Core::fail(error, ErrorKind::StoreUnavailable, "the platform's response lacks a field or has one of the wrong type", runState);
}

static std::nullopt_t failTooLarge(std::string const& value, Core::Error& error)
{
    return Core::fail(error, ErrorKind::StoreValueTooLarge, "the value has " + std::to_string(value.size()) + " bytes; the limit is " + std::to_string(maximumValueBytes));
}

ObjectClient::ObjectClient(Core::Runtime& runtime, HTTP::Client& client, Core::Endpoint platform)
    : m_runtime(runtime)
    , m_client(client)
    , m_platform(std::move(platform))
{
}

Core::Awaitable<std::optional<StoredObject>> ObjectClient::read(ObjectKey key, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request { "GET", objectPath(key), {}, {} };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, error);
    if (!response)
        co_return std::nullopt;
    auto object = objectFromJson(*response);
    // A response with another object is an error.
    if (!object || object->key != key)
        co_return failMalformed(error);
    co_return object;
}

Core::Awaitable<std::optional<ObjectList>> ObjectClient::list(std::string kind, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request { "GET", "/objects/" + kind, {}, {} };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, error);
    if (!response)
        co_return std::nullopt;
    auto list = listFromJson(*response);
    if (!list)
        co_return failMalformed(error);
    co_return list;
}

Core::Awaitable<std::optional<Core::StoreRevision>> ObjectClient::write(HTTP::Request request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, error);
    if (!response)
        co_return std::nullopt;
    JsonFields fields(*response);
    Core::StoreRevision const version { 0, fields.number("resourceVersion") };
    if (!fields.areValid())
        co_return failMalformed(error, RunState::Unknown);
    co_return version;
}

Core::Awaitable<std::optional<Core::StoreRevision>> ObjectClient::create(ObjectKey key, std::string value, Core::MonotonicTime deadline, Core::Error& error)
{
    if (value.size() > maximumValueBytes)
        co_return failTooLarge(value, error);
    HTTP::Request request { "POST", objectPath(key), { { "Content-Type", "application/json" } }, R"({"value":)" + value + "}" };
    auto const version = co_await write(std::move(request), deadline, error);
    co_return version;
}

Core::Awaitable<std::optional<Core::StoreRevision>> ObjectClient::update(ObjectKey key, std::string value, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    if (value.size() > maximumValueBytes)
        co_return failTooLarge(value, error);
    HTTP::Request request { "PUT", objectPath(key), { { "Content-Type", "application/json" } }, R"({"resourceVersion":)" + std::to_string(expectedVersion.number) + R"(,"value":)" + value + "}" };
    auto const version = co_await write(std::move(request), deadline, error);
    if (!version && error.kind == ErrorKind::NotFound)
        error.kind = ErrorKind::StoreConflict;
    co_return version;
}

Core::Awaitable<std::optional<Core::StoreRevision>> ObjectClient::updateStatus(ObjectKey key, std::string status, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    if (status.size() > maximumValueBytes)
        co_return failTooLarge(status, error);
    HTTP::Request request { "PUT", objectPath(key) + "/status", { { "Content-Type", "application/json" } }, R"({"resourceVersion":)" + std::to_string(expectedVersion.number) + R"(,"status":)" + status + "}" };
    auto const version = co_await write(std::move(request), deadline, error);
    if (!version && error.kind == ErrorKind::NotFound)
        error.kind = ErrorKind::StoreConflict;
    co_return version;
}

Core::Awaitable<bool> ObjectClient::remove(ObjectKey key, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request { "DELETE", objectPath(key) + "?resourceVersion=" + std::to_string(expectedVersion.number), {}, {} };
    auto const response = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, error);
    co_return response.has_value();
}

Core::Awaitable<std::optional<ObjectChanges>> ObjectClient::waitForChanges(std::string kind, Core::StoreRevision afterVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const timeout = longPollTimeout(m_runtime.now(), deadline);
    HTTP::Request request { "GET", "/watch/" + kind + "?resourceVersion=" + std::to_string(afterVersion.number) + "&timeoutMs=" + std::to_string(timeout.count()), {}, {} };
    auto const stream = co_await m_client.openStream(m_platform, std::move(request), HTTP::ConnectionUse::Pooled, deadline, error);
    if (!stream)
        co_return failForTransport(CallEffect::Read, error);
    if (stream->status() >= 300) {
        HTTP::Response const response { stream->status(), stream->headers(), {} };
        co_return failForStatus(response, CallEffect::Read, error);
    }
    std::string text;
    while (true) {
        auto const piece = co_await stream->readSome(deadline, error);
        if (!piece)
            co_return failForTransport(CallEffect::Read, error);
        text += *piece;
        auto events = extractEvents(text);
        if (!events)
            co_return failMalformed(error);
        // An incomplete last line is discarded; the next call continues after the last event returned.
        if (piece->empty() || !events->empty()) {
            auto const version = lastVersion(*events, afterVersion);
            co_return ObjectChanges { std::move(*events), version };
        }
    }
}

}
