#include <LibPlatform/Cloud.h>

#include <LibPlatform/JsonFields.h>

namespace Platform {

static std::string_view roleName(HostRole role)
{
    return role == HostRole::Entry ? "entry" : "backend";
}

static std::string_view stateName(HostState state)
{
    return state == HostState::Live ? "live" : "leaving";
}

boost::json::object toJson(Host const& host)
{
    return {
        { "id", host.id },
        { "role", roleName(host.role) },
        { "endpoint", host.endpoint.toString() },
        { "service", host.service },
        { "version", host.version },
        { "dataCentre", host.dataCentre },
        { "zone", host.zone },
        { "machineClass", host.machineClass },
        { "reclaimable", host.reclaimable },
        { "state", stateName(host.state) },
        { "incarnation", host.incarnation },
    };
}

boost::json::object toJson(ReclaimNotice const& notice)
{
    return { { "sequence", notice.sequence }, { "hostId", notice.hostId }, { "reclaimAtMs", notice.reclaimAtMilliseconds } };
}

boost::json::object toJson(HostRequest const& request)
{
    return {
        { "service", request.service },
        { "dataCentre", request.dataCentre },
        { "zone", request.zone },
        { "machineClass", request.machineClass },
        { "reclaimable", request.reclaimable },
    };
}

std::optional<Host> hostFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    Host host;
    host.id = fields.text("id");
    auto const role = fields.text("role");
    auto const endpoint = fields.text("endpoint");
    host.service = fields.text("service");
    host.version = fields.text("version");
    host.dataCentre = fields.text("dataCentre");
    host.zone = fields.text("zone");
    host.machineClass = fields.text("machineClass");
    host.reclaimable = fields.flag("reclaimable");
    auto const state = fields.text("state");
    host.incarnation = fields.number("incarnation");
    Core::Error ignored;
    auto const parsedEndpoint = Core::parseEndpoint(endpoint, ignored);
    if (!fields.areValid() || host.id.empty() || !parsedEndpoint)
        return std::nullopt;
    if ((role != "entry" && role != "backend") || (state != "live" && state != "leaving"))
        return std::nullopt;
    host.endpoint = *parsedEndpoint;
    host.role = role == "entry" ? HostRole::Entry : HostRole::Backend;
    host.state = state == "live" ? HostState::Live : HostState::Leaving;
    return host;
}

std::optional<ReclaimNotice> noticeFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    ReclaimNotice notice;
    notice.sequence = fields.number("sequence");
    notice.hostId = fields.text("hostId");
    notice.reclaimAtMilliseconds = static_cast<std::int64_t>(fields.number("reclaimAtMs"));
    if (!fields.areValid())
        return std::nullopt;
    return notice;
}

std::optional<HostRequest> hostRequestFromJson(boost::json::value const& value)
{
    JsonFields fields(value);
    HostRequest request;
    request.service = fields.text("service");
    request.dataCentre = fields.text("dataCentre");
    request.zone = fields.text("zone");
    request.machineClass = fields.text("machineClass");
    request.reclaimable = fields.flag("reclaimable");
    if (!fields.areValid())
        return std::nullopt;
    return request;
}

}
