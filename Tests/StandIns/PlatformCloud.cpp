#include <StandIns/PlatformStandIn.h>
#include <StandIns/StandInProcess.h>
#include <boost/json/array.hpp>

namespace StandIns {

Core::Awaitable<HTTP::Response> PlatformStandIn::handleCloudCall(Path path, HTTP::Request const& request)
{
    bool const isHosts = path[1] == "hosts";
    if (isHosts && path.size() == 2 && request.method == "GET") {
        boost::json::array hosts;
        for (auto const& host : m_hosts.listWithLag(std::chrono::milliseconds(m_faults.hostListLagMs)))
            hosts.push_back(Platform::toJson(host));
        co_return jsonResponse(200, boost::json::object { { "hosts", std::move(hosts) } });
    }
    if (isHosts && path.size() == 2 && request.method == "POST")
        co_return startHost(request);
    if (isHosts && path.size() == 3 && request.method == "DELETE") {
        if (!m_hosts.contains(path[2]))
            co_return errorResponse(404, "no such host");
        m_hosts.remove({ path[2] });
        m_stops.push_back(boost::json::string(path[2]));
        co_return jsonResponse(200, boost::json::object {});
    }
    if (path[1] == "notices" && path.size() == 2 && request.method == "GET")
        co_return co_await waitForNotices(request);
    co_return errorResponse(404, "no such call");
}

HTTP::Response PlatformStandIn::startHost(HTTP::Request const& request)
{
    auto const body = parseBody(request);
    auto const hostRequest = body ? Platform::hostRequestFromJson(*body) : std::nullopt;
    if (!hostRequest)
        return errorResponse(400, "not a valid host request");
    auto entry = Platform::toJson(*hostRequest);
    entry["granted"] = !m_faults.refuseHostStarts;
    if (m_faults.refuseHostStarts) {
        m_starts.push_back(std::move(entry));
        return errorResponse(409, "no capacity");
    }
    auto const id = "started-" + std::to_string(++m_lastHostNumber);
    entry["id"] = id;
    m_starts.push_back(std::move(entry));
    return jsonResponse(201, boost::json::object { { "id", id } });
}

Core::Awaitable<HTTP::Response> PlatformStandIn::waitForNotices(HTTP::Request const& request)
{
    auto const after = queryNumber(request, "after", 0);
    auto const deadline = m_runtime.now() + std::chrono::milliseconds(queryNumber(request, "timeoutMs", 0));
    while (m_notices.size() <= after && m_runtime.now() < deadline && !m_faults.down)
        (void)co_await m_changed.waitUntil(deadline);
    if (m_faults.down)
        co_return errorResponse(503, "outage");
    boost::json::array notices;
    // Sequences start at 1 and have no gaps, so the notice after a sequence has that index.
    for (auto index = after; index < m_notices.size(); ++index)
        notices.push_back(Platform::toJson(m_notices[index]));
    auto const sequence = notices.empty() ? after : m_notices.back().sequence;
    co_return jsonResponse(200, boost::json::object { { "notices", std::move(notices) }, { "sequence", sequence } });
}

Core::Awaitable<HTTP::Response> PlatformStandIn::sendWeights(std::string name)
{
    // All downloads share the throughput of the store, so they are served one after the other.
    auto const start = std::max(m_runtime.now(), m_weightsBusyUntil);
    auto const rate = std::max<std::uint64_t>(1, m_faults.weightsBytesPerSecond);
    auto const seconds = static_cast<double>(m_settings.weightsBytes) / static_cast<double>(rate);
    m_weightsBusyUntil = start + std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(seconds));
    co_await m_runtime.sleepUntil(m_weightsBusyUntil);
    if (m_faults.down)
        co_return errorResponse(503, "outage");
    co_return jsonResponse(200, boost::json::object { { "name", name }, { "bytes", m_settings.weightsBytes } });
}

}
