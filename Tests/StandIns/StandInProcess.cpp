#include <StandIns/StandInProcess.h>

#include <LibCore/Log.h>
#include <StandIns/ListenFlags.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

namespace StandIns {

std::vector<std::string> splitList(std::string const& list)
{
    std::vector<std::string> elements;
    std::istringstream stream(list);
    for (std::string element; std::getline(stream, element, ',');)
        elements.push_back(element);
    return elements;
}

bool prepareStandIn(int argc, char** argv, std::function<void(Core::SettingChecker&)> const& checkSettings)
{
    std::string const name = argv[0];
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto errors = Core::applyEnvironmentToFlags();
    Core::SettingChecker checker;
    checker.checkNotEmpty("listen", FLAGS_listen, "an IP address and a port");
    for (auto const& endpoint : splitList(FLAGS_listen))
        checker.checkEndpoint("listen", endpoint);
    if (checkSettings)
        checkSettings(checker);
    errors.insert(errors.end(), checker.errors().begin(), checker.errors().end());
    if (argc > 1)
        errors.push_back("unexpected argument \"" + std::string(argv[1]) + "\"");
    for (auto const& error : errors)
        std::fprintf(stderr, "%s\n", error.c_str());
    Core::configureLog(Core::LogLevel::Info, name);
    return errors.empty();
}

void logListening(std::string_view interface, Core::Endpoint const& endpoint)
{
    Core::logEvent(Core::LogLevel::Info, "listening", { { "interface", interface }, { "endpoint", endpoint.toString() } });
}

void runUntilTerminated(Core::Runtime& runtime, std::function<void()> onStop)
{
    boost::asio::signal_set signals(runtime.context(), SIGTERM, SIGINT);
    signals.async_wait([&onStop](boost::system::error_code errorCode, int signal) {
        if (errorCode)
            return;
        Core::logEvent(Core::LogLevel::Info, "stopping", { { "signal", signal } });
        onStop();
    });
    runtime.context().run();
    Core::logEvent(Core::LogLevel::Info, "stopped");
}

// Short, because watches and long polls do not end by themselves and tests would wait for the whole time-out.
static constexpr auto drainTimeout = std::chrono::milliseconds(500);

static Core::Awaitable<void> drainAndStop(Core::Runtime& runtime, HTTP::Server& server)
{
    server.stopAccepting();
    auto const deadline = runtime.now() + drainTimeout;
    (void)co_await server.waitUntilDrained(deadline);
    server.closeAllConnections();
    runtime.context().stop();
}

int serveUntilTerminated(Core::Runtime& runtime, std::string_view interface, HTTP::Handler handler)
{
    HTTP::Server server(runtime, {}, std::move(handler));
    Core::Error error;
    auto const requested = Core::parseEndpoint(FLAGS_listen, error);
    auto const bound = requested ? server.listen(*requested, error) : std::nullopt;
    if (!bound) {
        std::fprintf(stderr, "--listen=\"%s\": %s\n", FLAGS_listen.c_str(), error.message.c_str());
        return CannotListen;
    }
    logListening(interface, *bound);
    runUntilTerminated(runtime, [&] { runtime.spawn(drainAndStop(runtime, server)); });
    return Stopped;
}

HTTP::Response jsonResponse(unsigned status, boost::json::value const& value)
{
    return { status, { { "Content-Type", "application/json" } }, boost::json::serialize(value) };
}

HTTP::Response errorResponse(unsigned status, std::string_view message)
{
    return jsonResponse(status, boost::json::object { { "error", message } });
}

std::optional<boost::json::value> parseBody(HTTP::Request const& request)
{
    boost::json::error_code errorCode;
    auto value = boost::json::parse(request.body, errorCode);
    if (errorCode)
        return std::nullopt;
    return value;
}

std::uint64_t queryNumber(HTTP::Request const& request, std::string_view name, std::uint64_t defaultValue)
{
    auto const text = request.queryParameter(name);
    if (!text)
        return defaultValue;
    std::uint64_t number = 0;
    auto const [end, errorCode] = std::from_chars(text->data(), text->data() + text->size(), number);
    return errorCode == std::errc() && end == text->data() + text->size() ? number : defaultValue;
}

}
