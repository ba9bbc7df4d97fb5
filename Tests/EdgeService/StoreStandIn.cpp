#include <EdgeService/StoreStandIn.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace StandIns {

namespace json = boost::json;

static constexpr std::string_view prefix = "/hyssopstep/objects/";
// Small, so that lists have several pages.
static constexpr std::size_t pageLength = 2;

// The value stays as it was put, even if it is not valid JSON.
static std::string objectJson(Platform::StoredObject const& object)
{
    json::object const metadata { { "name", object.key.name }, { "revision", object.resourceVersion.number }, { "create-rev", 1 }, { "finalizers", json::array {} }, { "deleting", false } };
    return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" + object.value + R"(,"status":)" + (object.status.empty() ? "null" : object.status) + "}";
}

static HTTP::Response jsonResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

static void appendElement(std::string& array, std::string const& element)
{
    array += (array.empty() ? "" : ",") + element;
}

StoreStandIn::StoreStandIn(Core::Runtime& runtime)
    : m_runtime(runtime)
    , m_changed(runtime)
    , m_server(runtime, {}, [this](auto const& request, auto& writer) { return handle(request, writer); })
{
    m_objects.era = 1;
}

Core::Endpoint StoreStandIn::start()
{
    Core::Error error;
    return m_server.listen({ "127.0.0.1", 0 }, error).value();
}

void StoreStandIn::put(std::string const& kind, std::string const& name, std::string value)
{
    (void)m_objects.put({ kind, name }, std::move(value));
    m_changed.notifyAll();
}

void StoreStandIn::putStatus(std::string const& kind, std::string const& name, std::string status)
{
    (void)m_objects.putStatus({ kind, name }, std::move(status));
    m_changed.notifyAll();
}

void StoreStandIn::erase(std::string const& kind, std::string const& name)
{
    m_objects.erase({ kind, name });
    m_changed.notifyAll();
}

void StoreStandIn::restore(TestSupport::MemoryObjects const& copy)
{
    m_objects.restore(copy);
    cutWatches();
}

void StoreStandIn::silenceWatches()
{
    m_silencedWatches = watches;
}

void StoreStandIn::cutWatches()
{
    m_cutWatches = watches;
    m_changed.notifyAll();
}

void StoreStandIn::hideChangesFromPendingWatches()
{
    m_watchesWithoutEvents = watches;
}

Core::Awaitable<void> StoreStandIn::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    ++calls;
    HTTP::Response response { 404, {}, "{}" };
    auto path = std::string(request.path());
    if (forcedStatus) {
        response.status = *forcedStatus;
    } else if (path.starts_with(prefix)) {
        path.erase(0, prefix.size());
        auto const slash = path.find('/');
        auto const kind = path.substr(0, slash);
        auto const name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        auto const found = m_objects.objects.find({ kind, name });
        if (request.method != "GET") {
            response = write(kind, name, request);
        } else if (request.queryParameter("watch")) {
            auto answer = co_await watch(kind, request);
            if (!answer) {
                writer.abort();
                co_return;
            }
            response = std::move(*answer);
        } else if (name.empty()) {
            response = list(kind, request);
        } else if (found != m_objects.objects.end()) {
            response = jsonResponse(200, objectJson(found->second));
        }
    }
    response.headers.add("Store-Era", std::to_string(m_objects.era));
    (void)co_await writer.send(std::move(response));
}

HTTP::Response StoreStandIn::list(std::string const& kind, HTTP::Request const& request) const
{
    auto const after = request.queryParameter("after").value_or("");
    std::string items;
    std::size_t length = 0;
    bool more = false;
    for (auto const& [key, object] : m_objects.objects) {
        if (key.kind != kind || (!after.empty() && key.name <= after))
            continue;
        more = length == pageLength;
        if (more)
            break;
        appendElement(items, objectJson(object));
        ++length;
    }
    return jsonResponse(200, R"({"items":[)" + items + R"(],"more-pages":)" + (more ? "true" : "false") + R"(,"store-revision":)" + std::to_string(m_objects.version) + "}");
}

Core::Awaitable<std::optional<HTTP::Response>> StoreStandIn::watch(std::string kind, HTTP::Request const& request)
{
    auto const since = std::stoull(*request.queryParameter("watch"));
    auto const deadline = m_runtime.now() + std::chrono::milliseconds(std::stoll(*request.queryParameter("wait-ms")));
    auto const number = ++watches;
    if (since < oldestRevision || since > m_objects.version)
        co_return HTTP::Response { 410, {}, "{}" };
    while (true) {
        if (number <= m_cutWatches)
            co_return std::nullopt;
        std::string events;
        bool const isHidden = hidesChanges || number <= m_watchesWithoutEvents;
        for (auto const& event : m_objects.history) {
            if (!isHidden && event.object.key.kind == kind && event.object.resourceVersion.number > since)
                appendElement(events, std::string(R"({"deleted":)") + (event.kind == Platform::ObjectEventKind::Removed ? "true" : "false") + R"(,"object":)" + objectJson(event.object) + "}");
        }
        bool const isSilent = number <= m_silencedWatches;
        if (!isSilent && (!events.empty() || m_runtime.now() >= deadline))
            co_return jsonResponse(200, R"({"events":[)" + events + R"(],"store-revision":)" + std::to_string(m_objects.version) + "}");
        static constexpr Core::Duration silence = std::chrono::seconds(20);
        (void)co_await m_changed.waitUntil(isSilent ? m_runtime.now() + silence : deadline);
    }
}

HTTP::Response StoreStandIn::write(std::string const& kind, std::string name, HTTP::Request const& request)
{
    auto const body = json::parse(request.body.empty() ? "{}" : request.body);
    auto const* metadata = body.as_object().if_contains("metadata");
    static constexpr std::string_view statusSuffix = "/status";
    bool const isStatus = name.ends_with(statusSuffix);
    if (isStatus)
        name.erase(name.size() - statusSuffix.size());
    bool const creates = request.method == "POST";
    if (creates)
        name = metadata->at("name").as_string();
    auto const found = m_objects.objects.find({ kind, name });
    bool const exists = found != m_objects.objects.end();
    if (creates == exists)
        return { exists ? 409U : 404U, {}, "{}" };
    auto const* revision = metadata ? metadata->as_object().if_contains("revision") : nullptr;
    if (exists && revision && revision->to_number<std::uint64_t>() != found->second.resourceVersion.number)
        return { 409, {}, "{}" };
    if (isStatus)
        putStatus(kind, name, json::serialize(body.at("status")));
    else
        put(kind, name, json::serialize(body.at("spec")));
    return jsonResponse(200, objectJson(m_objects.objects.at({ kind, name })));
}

}
