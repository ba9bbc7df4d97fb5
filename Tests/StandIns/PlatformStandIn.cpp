#include <StandIns/PlatformStandIn.h>

#include <LibPlatform/JsonFields.h>
#include <StandIns/StandInProcess.h>
#include <StandIns/SwitchReader.h>
#include <algorithm>
#include <set>

namespace StandIns {

using Platform::JsonFields;

static std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        auto const end = std::min(path.find('/'), path.size());
        segments.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return segments;
}

static std::string callName(std::vector<std::string> const& path, std::string const& method)
{
    if (path[0] == "watch")
        return "watch";
    if (path[0] == "weights")
        return "weights";
    if (path[0] == "objects") {
        if (method == "GET")
            return path.size() == 2 ? "list" : "read";
        return method == "POST" ? "create" : method == "PUT" ? "update"
                                                             : "remove";
    }
    if (path[1] == "notices")
        return "notices";
    return method == "GET" ? "hostList" : method == "POST" ? "hostStart"
                                                           : "hostStop";
}

PlatformStandIn::PlatformStandIn(Core::Runtime& runtime, PlatformSettings settings)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_faults(settings.initialFaults)
    , m_objects(settings.historyPerKind)
    , m_hosts(runtime)
    , m_changed(runtime)
{
}

Core::Awaitable<void> PlatformStandIn::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    auto path = splitPath(request.path());
    if (path.size() < 2 || path.size() > 3) {
        auto response = errorResponse(404, "no such call");
        (void)co_await writer.send(std::move(response));
    } else if (path[0] == "stand-in") {
        auto response = handleStandInCall(path[1], request);
        (void)co_await writer.send(std::move(response));
    } else {
        co_await handlePlatformCall(std::move(path), request, writer);
    }
}

Core::Awaitable<void> PlatformStandIn::handlePlatformCall(Path path, HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    static std::set<std::string> const callGroups { "objects", "watch", "cloud", "weights" };
    if (!callGroups.contains(path[0])) {
        auto response = errorResponse(404, "no such call");
        (void)co_await writer.send(std::move(response));
        co_return;
    }
    ++m_calls[callName(path, request.method)];
    // The delay precedes the effect, so that a write may take effect after its client has timed out.
    if (m_faults.slowMs > 0)
        co_await m_runtime.sleepFor(std::chrono::milliseconds(m_faults.slowMs));
    CallResult result;
    if (m_faults.down) {
        result.response = errorResponse(503, "outage");
    } else if (path[0] == "watch") {
        co_await watch(path[1], request, writer);
        co_return;
    } else if (path[0] == "objects") {
        result = handleObjectCall(path, request);
    } else if (path[0] == "cloud") {
        result.response = co_await handleCloudCall(path, request);
    } else {
        result.response = co_await sendWeights(path[1]);
    }
    if (result.delivery == ResponseDelivery::Drop) {
        // The server closes the connection when a handler returns without finish().
        (void)co_await writer.begin(result.response.status, {});
        co_return;
    }
    (void)co_await writer.send(std::move(result.response));
}

HTTP::Response PlatformStandIn::handleStandInCall(std::string const& call, HTTP::Request const& request)
{
    if (call == "faults" && request.method == "PUT")
        return replaceFaults(request);
    if (call == "hosts" && request.method == "PUT")
        return registerHosts(request);
    if (call == "notices" && request.method == "POST")
        return postNotices(request);
    if (call == "record" && request.method == "GET")
        return record(queryNumber(request, "after", 0));
    return errorResponse(404, "no such call");
}

HTTP::Response PlatformStandIn::replaceFaults(HTTP::Request const& request)
{
    auto const body = parseBody(request);
    if (!body)
        return errorResponse(400, "the body is not JSON");
    SwitchReader switches(*body);
    auto faults = m_settings.initialFaults;
    switches.read("slowMs", faults.slowMs);
    switches.read("down", faults.down);
    switches.read("dropWriteAnswers", faults.dropWriteAnswers);
    switches.read("hostListLagMs", faults.hostListLagMs);
    switches.read("refuseHostStarts", faults.refuseHostStarts);
    switches.read("writesPerSecond", faults.writesPerSecond);
    switches.read("readsPerSecond", faults.readsPerSecond);
    switches.read("weightsBytesPerSecond", faults.weightsBytesPerSecond);
    if (!switches.isComplete())
        return errorResponse(400, "the body has an unknown switch or a value of the wrong type");
    m_faults = faults;
    m_changed.notifyAll();
    return jsonResponse(200, boost::json::object {});
}

HTTP::Response PlatformStandIn::registerHosts(HTTP::Request const& request)
{
    auto const body = parseBody(request);
    if (!body)
        return errorResponse(400, "the body is not JSON");
    JsonFields fields(*body);
    std::vector<Platform::Host> hosts;
    for (auto const& element : fields.elements("hosts")) {
        auto host = Platform::hostFromJson(element);
        if (!host)
            return errorResponse(400, "not a valid host");
        hosts.push_back(std::move(*host));
    }
    std::vector<std::string> removed;
    if (fields.has("removed")) {
        for (auto const& element : fields.elements("removed")) {
            if (element.is_string())
                removed.emplace_back(std::string_view(element.get_string()));
        }
    }
    if (!fields.areValid())
        return errorResponse(400, "hosts is missing, or hosts or removed is not an array");
    m_hosts.addOrReplace(hosts);
    if (!removed.empty())
        m_hosts.remove(removed);
    return jsonResponse(200, boost::json::object {});
}

HTTP::Response PlatformStandIn::postNotices(HTTP::Request const& request)
{
    auto const body = parseBody(request);
    if (!body)
        return errorResponse(400, "the body is not JSON");
    JsonFields fields(*body);
    auto const noticeTime = std::chrono::milliseconds(fields.number("noticeMs"));
    std::set<std::string> namedHostIds;
    if (fields.has("hostIds")) {
        for (auto const& element : fields.elements("hostIds")) {
            if (element.is_string())
                namedHostIds.emplace(std::string_view(element.get_string()));
        }
    }
    auto const zone = fields.has("zone") ? fields.text("zone") : "";
    auto const dataCentre = fields.has("dataCentre") ? fields.text("dataCentre") : "";
    if (!fields.areValid())
        return errorResponse(400, "noticeMs is missing or a value has the wrong type");
    auto const reclaimAt = m_runtime.wallNow() + noticeTime;
    auto const reclaimAtMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(reclaimAt.time_since_epoch()).count();
    auto const hostIds = m_hosts.markLeaving([&](Platform::Host const& host) {
        bool const isInLocation = (!zone.empty() && host.zone == zone) || (!dataCentre.empty() && host.dataCentre == dataCentre);
        return namedHostIds.contains(host.id) || (host.reclaimable && isInLocation);
    });
    boost::json::array ids;
    for (auto const& id : hostIds) {
        m_notices.push_back({ m_notices.size() + 1, id, reclaimAtMilliseconds });
        ids.push_back(boost::json::string(id));
    }
    m_changed.notifyAll();
    m_runtime.spawn(removeHostsAfter(hostIds, noticeTime));
    return jsonResponse(200, boost::json::object { { "hostIds", std::move(ids) }, { "reclaimAtMs", reclaimAtMilliseconds } });
}

Core::Awaitable<void> PlatformStandIn::removeHostsAfter(std::vector<std::string> hostIds, Core::Duration delay)
{
    co_await m_runtime.sleepFor(delay);
    m_hosts.remove(hostIds);
}

HTTP::Response PlatformStandIn::record(std::uint64_t afterVersion) const
{
    boost::json::array writes;
    for (auto const& [version, write] : m_writesByVersion) {
        if (version > afterVersion)
            writes.push_back(write);
    }
    boost::json::object calls;
    for (auto const& [name, count] : m_calls)
        calls[name] = count;
    return jsonResponse(200,
        boost::json::object {
            { "calls", std::move(calls) },
            { "rateLimitedCalls", m_rateLimitedCalls },
            { "writes", std::move(writes) },
            { "hostStarts", m_starts },
            { "hostStops", m_stops },
        });
}

}
