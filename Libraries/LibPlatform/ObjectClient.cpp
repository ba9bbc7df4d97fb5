#include <LibPlatform/ObjectClient.h>

#include <LibPlatform/JsonFields.h>
#include <LibPlatform/PlatformCall.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Platform {

using Core::ErrorKind;
using Core::RunState;

static std::string pathOf(ObjectKey const& key)
{
    return "/objects/" + key.kind + "/" + key.name;
}

static std::optional<StoredObject> objectFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    StoredObject object { { fields.text("kind"), fields.text("name") }, fields.number("resourceVersion"), {} };
    auto const* content = fields.required("value");
    if (!fields.areValid())
        return std::nullopt;
    object.value = boost::json::serialize(*content);
    return object;
}

static std::optional<ObjectList> listFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    ObjectList list;
    list.resourceVersion = fields.number("resourceVersion");
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
    boost::json::error_code error;
    auto const value = boost::json::parse({ line.data(), line.size() }, error);
    if (error)
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

// Takes the complete lines out of the text. Nothing if one of them is not an event.
static std::optional<std::vector<ObjectEvent>> takeEvents(std::string& text)
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

static std::uint64_t lastVersion(std::vector<ObjectEvent> const& events, std::uint64_t afterVersion)
{
    auto version = afterVersion;
    for (auto const& event : events)
        version = std::max(version, event.object.resourceVersion);
    return version;
}

static std::nullopt_t failMalformed(Core::Error& reason, RunState runState = RunState::NotRun)
{
    return Core::fail(reason, ErrorKind::StoreUnavailable, "the platform's answer lacks a field", runState);
}

static std::nullopt_t failTooLarge(std::string const& value, Core::Error& reason)
{
    return Core::fail(reason, ErrorKind::StoreValueTooLarge, "the value has " + std::to_string(value.size()) + " bytes, of at most " + std::to_string(maximumValueBytes));
}

ObjectClient::ObjectClient(Core::Runtime& runtime, HTTP::Client& client, Core::Endpoint platform)
    : m_runtime(runtime)
    , m_client(client)
    , m_platform(std::move(platform))
{
}

Core::Awaitable<std::optional<StoredObject>> ObjectClient::read(ObjectKey key, Core::MonotonicTime deadline, Core::Error& reason)
{
    HTTP::Request request { "GET", pathOf(key), {}, {} };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, reason);
    if (!answer)
        co_return std::nullopt;
    auto object = objectFromJson(*answer);
    // An answer for another object must not be taken for this one's.
    if (!object || object->key != key)
        co_return failMalformed(reason);
    co_return object;
}

Core::Awaitable<std::optional<ObjectList>> ObjectClient::list(std::string kind, Core::MonotonicTime deadline, Core::Error& reason)
{
    HTTP::Request request { "GET", "/objects/" + kind, {}, {} };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Read, deadline, reason);
    if (!answer)
        co_return std::nullopt;
    auto list = listFromJson(*answer);
    if (!list)
        co_return failMalformed(reason);
    co_return list;
}

Core::Awaitable<std::optional<std::uint64_t>> ObjectClient::write(HTTP::Request request, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, reason);
    if (!answer)
        co_return std::nullopt;
    JsonFields fields(*answer);
    auto const version = fields.number("resourceVersion");
    if (!fields.areValid())
        co_return failMalformed(reason, RunState::Unknown);
    co_return version;
}

Core::Awaitable<std::optional<std::uint64_t>> ObjectClient::create(ObjectKey key, std::string value, Core::MonotonicTime deadline, Core::Error& reason)
{
    if (value.size() > maximumValueBytes)
        co_return failTooLarge(value, reason);
    HTTP::Request request { "POST", pathOf(key), { { "Content-Type", "application/json" } }, R"({"value":)" + value + "}" };
    auto const version = co_await write(std::move(request), deadline, reason);
    co_return version;
}

Core::Awaitable<std::optional<std::uint64_t>> ObjectClient::update(ObjectKey key, std::string value, std::uint64_t expectedVersion, Core::MonotonicTime deadline, Core::Error& reason)
{
    if (value.size() > maximumValueBytes)
        co_return failTooLarge(value, reason);
    HTTP::Request request { "PUT", pathOf(key), { { "Content-Type", "application/json" } }, R"({"resourceVersion":)" + std::to_string(expectedVersion) + R"(,"value":)" + value + "}" };
    auto const version = co_await write(std::move(request), deadline, reason);
    if (!version && reason.kind == ErrorKind::NotFound)
        reason.kind = ErrorKind::StoreConflict;
    co_return version;
}

Core::Awaitable<bool> ObjectClient::remove(ObjectKey key, std::uint64_t expectedVersion, Core::MonotonicTime deadline, Core::Error& reason)
{
    HTTP::Request request { "DELETE", pathOf(key) + "?resourceVersion=" + std::to_string(expectedVersion), {}, {} };
    auto const answer = co_await callPlatform(m_client, m_platform, std::move(request), CallEffect::Write, deadline, reason);
    co_return answer.has_value();
}

Core::Awaitable<std::optional<ObjectChanges>> ObjectClient::waitForChanges(std::string kind, std::uint64_t afterVersion, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto const timeout = serverSideWait(m_runtime.now(), deadline);
    HTTP::Request request { "GET", "/watch/" + kind + "?resourceVersion=" + std::to_string(afterVersion) + "&timeoutMs=" + std::to_string(timeout.count()), {}, {} };
    auto const stream = co_await m_client.openStream(m_platform, std::move(request), HTTP::ConnectionUse::Pooled, deadline, reason);
    if (!stream)
        co_return failForTransport(CallEffect::Read, reason);
    if (stream->status() >= 300) {
        HTTP::Response const response { stream->status(), stream->headers(), {} };
        co_return failForStatus(response, CallEffect::Read, reason);
    }
    std::string text;
    while (true) {
        auto const piece = co_await stream->readSome(deadline, reason);
        if (!piece)
            co_return failForTransport(CallEffect::Read, reason);
        text += *piece;
        auto events = takeEvents(text);
        if (!events)
            co_return failMalformed(reason);
        // An incomplete line after them is left out; the next call continues after the last event returned.
        if (piece->empty() || !events->empty()) {
            auto const version = lastVersion(*events, afterVersion);
            co_return ObjectChanges { std::move(*events), version };
        }
    }
}

}
