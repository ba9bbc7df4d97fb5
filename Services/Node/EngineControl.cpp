#include <Node/EngineControl.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Node {

namespace json = boost::json;

static constexpr unsigned ok = 200;
static constexpr unsigned conflict = 409;

EngineControl::EngineControl(HTTP::Client& client)
    : m_client(client)
{
}

Core::Awaitable<bool> EngineControl::send(Core::Endpoint endpoint, Fleet::EngineCommand command, Core::MonotonicTime deadline, Core::Error& error)
{
    bool const isRole = command.kind == Fleet::EngineCommandKind::Role;
    json::object body;
    body["fencingToken"] = command.fencingToken;
    body["command"] = isRole ? "role" : "load";
    body[isRole ? "role" : "version"] = command.value;
    HTTP::Request request;
    request.method = "POST";
    request.target = "/engine/command";
    request.headers.add("Content-Type", "application/json");
    request.body = json::serialize(body);
    auto const response = co_await m_client.send(endpoint, std::move(request), HTTP::ConnectionUse::NewConnection, deadline, error);
    if (!response)
        co_return false;
    if (response->status == ok)
        co_return true;
    auto const kind = response->status == conflict ? Core::ErrorKind::StoreConflict : Core::ErrorKind::BackendFailed;
    Core::fail(error, kind, "the engine responded to the command with status " + std::to_string(response->status), Core::RunState::Unknown);
    co_return false;
}

Core::Awaitable<std::optional<ServerLoad>> EngineControl::load(Core::Endpoint endpoint, ServerKind kind, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Request request;
    request.method = "GET";
    request.target = kind == ServerKind::Engine ? "/engine/load" : "/service/load";
    auto const response = co_await m_client.send(endpoint, std::move(request), HTTP::ConnectionUse::Pooled, deadline, error);
    if (!response)
        co_return std::nullopt;
    try {
        auto const value = json::parse(response->body);
        ServerLoad load;
        load.running = value.at("running").to_number<std::uint64_t>();
        load.waiting = kind == ServerKind::Engine ? value.at("waiting").to_number<std::uint64_t>() : 0;
        load.isLeaving = value.at("leaving").as_bool();
        co_return load;
    } catch (std::exception const& exception) {
        Core::fail(error, Core::ErrorKind::BackendAnswerInvalid, std::string("malformed load report: ") + exception.what());
    }
    co_return std::nullopt;
}

}
