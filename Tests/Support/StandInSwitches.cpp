#include <Support/StandInSwitches.h>

#include <Support/BlockingCall.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>
#include <limits>
#include <stdexcept>

namespace TestSupport {

boost::json::value callStandIn(Core::Endpoint const& endpoint, std::string method, std::string target, boost::json::value const& body)
{
    auto const call = method + " " + target + " at " + endpoint.toString();
    HTTP::Request request { std::move(method), std::move(target), {}, body.is_null() ? "" : boost::json::serialize(body) };
    Core::Error error;
    auto const response = blockingCall(endpoint, std::move(request), error);
    if (!response)
        throw std::runtime_error(call + ": " + error.message);
    if (response->status >= 300)
        throw std::runtime_error(call + ": " + std::to_string(response->status) + " " + response->body);
    return response->body.empty() ? boost::json::value() : boost::json::parse(response->body);
}

void PlatformSwitches::setFaults(PlatformFaults const& faults) const
{
    boost::json::object body {
        { "slowMs", faults.slowMs },
        { "down", faults.down },
        { "dropWriteAnswers", faults.dropWriteAnswers },
        { "hostListLagMs", faults.hostListLagMs },
        { "refuseHostStarts", faults.refuseHostStarts },
    };
    if (faults.writesPerSecond)
        body["writesPerSecond"] = *faults.writesPerSecond;
    if (faults.readsPerSecond)
        body["readsPerSecond"] = *faults.readsPerSecond;
    if (faults.weightsBytesPerSecond)
        body["weightsBytesPerSecond"] = *faults.weightsBytesPerSecond;
    callStandIn(m_endpoint, "PUT", "/stand-in/faults", body);
}

void PlatformSwitches::registerHosts(std::vector<Platform::Host> const& hosts) const
{
    boost::json::array array;
    for (auto const& host : hosts)
        array.push_back(Platform::toJson(host));
    boost::json::object const body { { "hosts", std::move(array) } };
    callStandIn(m_endpoint, "PUT", "/stand-in/hosts", body);
}

void PlatformSwitches::removeHosts(std::vector<std::string> const& ids) const
{
    boost::json::object const body { { "hosts", boost::json::array {} }, { "removed", boost::json::value_from(ids) } };
    callStandIn(m_endpoint, "PUT", "/stand-in/hosts", body);
}

std::vector<std::string> PlatformSwitches::reclaim(ReclaimRequest const& request) const
{
    boost::json::object const body {
        { "hostIds", boost::json::value_from(request.hostIds) },
        { "zone", request.zone },
        { "dataCentre", request.dataCentre },
        { "noticeMs", request.noticePeriod.count() },
    };
    auto const response = callStandIn(m_endpoint, "POST", "/stand-in/notices", body);
    return boost::json::value_to<std::vector<std::string>>(response.at("hostIds"));
}

boost::json::value PlatformSwitches::record(std::uint64_t afterVersion) const
{
    return callStandIn(m_endpoint, "GET", "/stand-in/record?after=" + std::to_string(afterVersion));
}

std::uint64_t PlatformSwitches::callCount(std::string_view kind) const
{
    auto const callRecord = record(std::numeric_limits<std::uint64_t>::max());
    auto const* count = callRecord.at("calls").as_object().if_contains(kind);
    return count ? boost::json::value_to<std::uint64_t>(*count) : 0;
}

std::vector<AcceptedWrite> PlatformSwitches::acceptedWrites(std::uint64_t afterVersion) const
{
    auto const fullRecord = record(afterVersion);
    std::vector<AcceptedWrite> writes;
    for (auto const& write : fullRecord.at("writes").as_array()) {
        writes.push_back({ boost::json::value_to<std::string>(write.at("kind")), boost::json::value_to<std::string>(write.at("name")),
            boost::json::value_to<std::uint64_t>(write.at("version")), boost::json::value_to<std::string>(write.at("operation")) });
    }
    return writes;
}

void ProxySwitches::setFaults(ProxyFaults const& faults, std::optional<std::size_t> pair) const
{
    boost::json::object const body {
        { "cut", faults.cut },
        { "delayMs", faults.delayMs },
        { "freezeToTarget", faults.freezeToTarget },
        { "freezeFromTarget", faults.freezeFromTarget },
        { "truncateAfterBytes", faults.truncateAfterBytes },
        { "dropAnswers", faults.dropAnswers },
    };
    callStandIn(m_control, "PUT", "/stand-in/faults" + (pair ? "?pair=" + std::to_string(*pair) : ""), body);
}

}
