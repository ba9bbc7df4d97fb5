#include <StandIns/BackendProcess.h>

#include <LibCore/Log.h>
#include <StandIns/ListenFlags.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <gflags/gflags.h>
#include <vector>

DEFINE_int32(drain_ms, 30000, "maximum time in milliseconds for running work to finish after SIGTERM");

namespace StandIns {

using Backends = std::vector<std::unique_ptr<Backend>>;

static constexpr int usageExitCode = 2;

static Core::Awaitable<void> shutDownAll(Core::Runtime& runtime, Backends& backends)
{
    auto const deadline = runtime.now() + std::chrono::milliseconds(FLAGS_drain_ms);
    for (auto& backend : backends)
        backend->leave();
    for (auto& backend : backends)
        co_await backend->shutDown(deadline);
    runtime.context().stop();
}

static bool listenAll(Core::Runtime& runtime, std::string_view name, Core::Endpoint endpoint, BackendFactory const& factory, Backends& backends)
{
    for (unsigned index = 0; index < static_cast<unsigned>(FLAGS_count); ++index) {
        auto backend = factory(runtime, index);
        Core::Error error;
        auto const bound = backend->listen(endpoint, error);
        if (!bound) {
            Core::logEvent(Core::LogLevel::Error, "listen_failed", { { "interface", name }, { "detail", error.message } });
            return false;
        }
        Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", name }, { "index", index }, { "endpoint", bound->toString() } });
        backends.push_back(std::move(backend));
        if (endpoint.port != 0)
            ++endpoint.port;
    }
    return true;
}

int runBackends(int argc, char** argv, std::string_view name, std::function<void(Core::SettingChecker&)> const& checkSettings, BackendFactory const& factory)
{
    static constexpr int maximumCount = 1000;
    static constexpr int maximumDrainMilliseconds = 600'000;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Core::configureLog(Core::LogLevel::Info, std::string(name));
    Core::SettingChecker checker;
    for (auto const& error : Core::applyEnvironmentToFlags())
        checker.addError("environment", error, "a value of the flag's type");
    checker.checkEndpoint("listen", FLAGS_listen);
    checker.checkRange("count", FLAGS_count, 1, maximumCount, "endpoints");
    checker.checkRange("drain_ms", FLAGS_drain_ms, 0, maximumDrainMilliseconds, "milliseconds");
    checkSettings(checker);
    for (auto const& error : checker.errors())
        std::fprintf(stderr, "%s\n", error.c_str());
    if (!checker.errors().empty())
        return usageExitCode;

    boost::asio::io_context context(1);
    Core::Runtime runtime(context);
    Core::Error error;
    auto const endpoint = Core::parseEndpoint(FLAGS_listen, error);
    Backends backends;
    if (!listenAll(runtime, name, *endpoint, factory, backends))
        return 1;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code errorCode, int) {
        if (!errorCode)
            runtime.spawn(shutDownAll(runtime, backends));
    });
    context.run();
    Core::logEvent(Core::LogLevel::Info, "stopped", { { "interface", name } });
    return 0;
}

Core::Awaitable<void> sendJson(HTTP::ResponseWriter& writer, unsigned status, boost::json::object const& body)
{
    HTTP::Response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = boost::json::serialize(body);
    (void)co_await writer.send(std::move(response));
}

Core::Awaitable<void> sendError(HTTP::ResponseWriter& writer, unsigned status, std::string_view message)
{
    boost::json::object const body { { "error", message } };
    co_await sendJson(writer, status, body);
}

std::int64_t unixMilliseconds(Core::WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

double numberMember(boost::json::object const& object, std::string_view name, double fallback)
{
    auto const* value = object.if_contains({ name.data(), name.size() });
    return value && value->is_number() ? value->to_number<double>() : fallback;
}

std::int64_t integerMember(boost::json::object const& object, std::string_view name, std::int64_t fallback)
{
    auto const* value = object.if_contains({ name.data(), name.size() });
    if (!value || !value->is_number())
        return fallback;
    return value->is_double() ? static_cast<std::int64_t>(value->as_double()) : value->to_number<std::int64_t>();
}

bool booleanMember(boost::json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains({ name.data(), name.size() });
    return value && value->is_bool() && value->as_bool();
}

std::string textMember(boost::json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains({ name.data(), name.size() });
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

}
