#include <LibPlatform/JsonFields.h>
#include <StandIns/PlatformStandIn.h>
#include <StandIns/StandInProcess.h>
#include <algorithm>
#include <boost/json/serialize.hpp>

namespace StandIns {

using Platform::JsonFields;
using Platform::ObjectKey;
using Platform::StoredObject;

static std::string objectJson(StoredObject const& object)
{
    // The value is already serialized JSON.
    return R"({"kind":")" + object.key.kind + R"(","name":")" + object.key.name + R"(","resourceVersion":)"
        + std::to_string(object.resourceVersion.number) + R"(,"value":)" + object.value + "}";
}

static HTTP::Response versionResponse(unsigned status, std::uint64_t version)
{
    return jsonResponse(status, boost::json::object { { "resourceVersion", version } });
}

static bool isValidKey(ObjectKey const& key)
{
    static constexpr std::size_t maximumNameLength = 253;
    static constexpr std::string_view nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789.-";
    static constexpr std::string_view kindCharacters = nameCharacters.substr(0, 26);
    return !key.kind.empty() && key.kind.find_first_not_of(kindCharacters) == std::string::npos
        && !key.name.empty() && key.name.size() <= maximumNameLength && key.name.find_first_not_of(nameCharacters) == std::string::npos;
}

PlatformStandIn::CallResult PlatformStandIn::handleObjectCall(Path const& path, HTTP::Request const& request)
{
    bool const isRead = request.method == "GET";
    bool const isAdmitted = isRead ? m_readLimit.admit(m_runtime.now(), m_faults.readsPerSecond) : m_writeLimit.admit(m_runtime.now(), m_faults.writesPerSecond);
    if (!isAdmitted) {
        ++m_rateLimitedCalls;
        auto response = errorResponse(429, "the rate limit is exceeded");
        response.headers.add("Retry-After", "1");
        return { response };
    }
    if (isRead && path.size() == 2)
        return { listObjects(path[1]) };
    ObjectKey const key { path[1], path.size() == 3 ? path[2] : "" };
    if (!isValidKey(key))
        return { errorResponse(400, "not a valid object kind or name") };
    if (isRead)
        return { readObject(key) };
    CallResult result { writeObject(key, request) };
    if (result.response.status < 300 && m_faults.dropWriteAnswers > 0) {
        --m_faults.dropWriteAnswers;
        result.delivery = ResponseDelivery::Drop;
    }
    return result;
}

HTTP::Response PlatformStandIn::readObject(ObjectKey const& key)
{
    auto const* object = m_objects.find(key);
    if (!object)
        return errorResponse(404, "no such object");
    return { 200, { { "Content-Type", "application/json" } }, objectJson(*object) };
}

HTTP::Response PlatformStandIn::listObjects(std::string const& kind)
{
    std::string body = R"({"resourceVersion":)" + std::to_string(m_objects.version()) + R"(,"items":[)";
    std::string_view separator;
    for (auto const& object : m_objects.list(kind)) {
        body += separator;
        body += objectJson(object);
        separator = ",";
    }
    body += "]}";
    return { 200, { { "Content-Type", "application/json" } }, std::move(body) };
}

std::optional<HTTP::Response> PlatformStandIn::checkPrecondition(ObjectKey const& key, std::optional<std::uint64_t> expectedVersion) const
{
    auto const* object = m_objects.find(key);
    if (!expectedVersion) {
        if (object)
            return errorResponse(409, "the object already exists");
        return std::nullopt;
    }
    if (!object)
        return errorResponse(404, "no such object");
    if (object->resourceVersion.number != *expectedVersion)
        return errorResponse(409, "the object has version " + std::to_string(object->resourceVersion.number));
    return std::nullopt;
}

HTTP::Response PlatformStandIn::writeObject(ObjectKey const& key, HTTP::Request const& request)
{
    if (request.method == "DELETE") {
        if (auto response = checkPrecondition(key, queryNumber(request, "resourceVersion", 0)))
            return *response;
        auto const version = m_objects.remove(key);
        recordWrite(key, "remove", version);
        return versionResponse(200, version);
    }
    bool const isUpdate = request.method == "PUT";
    if (!isUpdate && request.method != "POST")
        return errorResponse(405, "no such call");
    auto const body = parseBody(request);
    if (!body)
        return errorResponse(400, "the body is not JSON");
    JsonFields fields(*body);
    auto const* value = fields.required("value");
    std::optional<std::uint64_t> expectedVersion;
    if (isUpdate)
        expectedVersion = fields.number("resourceVersion");
    if (!fields.areValid())
        return errorResponse(400, "value or resourceVersion is missing or has the wrong type");
    auto text = boost::json::serialize(*value);
    if (text.size() > Platform::maximumValueBytes)
        return errorResponse(413, "the value is too large");
    if (auto response = checkPrecondition(key, expectedVersion))
        return *response;
    auto const version = m_objects.put(key, std::move(text));
    recordWrite(key, isUpdate ? "update" : "create", version);
    return versionResponse(isUpdate ? 200 : 201, version);
}

void PlatformStandIn::recordWrite(ObjectKey const& key, std::string_view operation, std::uint64_t version)
{
    // Enough for an hour at 25 writes/s; later writes are not recorded.
    static constexpr std::size_t maximumWrites = 100'000;
    if (m_writesByVersion.size() < maximumWrites)
        m_writesByVersion[version] = { { "kind", key.kind }, { "name", key.name }, { "version", version }, { "operation", operation } };
    m_changed.notifyAll();
}

Core::Awaitable<void> PlatformStandIn::watch(std::string kind, HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    if (!m_readLimit.admit(m_runtime.now(), m_faults.readsPerSecond)) {
        ++m_rateLimitedCalls;
        auto response = errorResponse(429, "the rate limit is exceeded");
        response.headers.add("Retry-After", "1");
        (void)co_await writer.send(std::move(response));
        co_return;
    }
    auto version = queryNumber(request, "resourceVersion", 0);
    auto const deadline = m_runtime.now() + std::chrono::milliseconds(queryNumber(request, "timeoutMs", 0));
    if (!m_objects.changesAfter(kind, version)) {
        auto response = errorResponse(410, "the version is no longer in the history");
        (void)co_await writer.send(std::move(response));
        co_return;
    }
    HTTP::Headers headers { { "Content-Type", "application/json" } };
    bool const hasBegun = co_await writer.begin(200, std::move(headers));
    if (!hasBegun)
        co_return;
    while (!m_faults.down) {
        auto const changes = m_objects.changesAfter(kind, version);
        if (!changes)
            co_return;
        std::string lines;
        for (auto const& event : *changes) {
            std::string_view const type = event.kind == Platform::ObjectEventKind::Put ? "PUT" : "REMOVED";
            lines += R"({"type":")" + std::string(type) + R"(","object":)" + objectJson(event.object) + "}\n";
        }
        version = m_objects.version();
        if (!lines.empty()) {
            bool const isConnected = co_await writer.write(std::move(lines));
            if (!isConnected)
                co_return;
            continue;
        }
        if (m_runtime.now() >= deadline) {
            (void)co_await writer.finish();
            co_return;
        }
        (void)co_await m_changed.waitUntil(deadline);
    }
}

}
