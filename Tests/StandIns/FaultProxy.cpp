#include <LibCore/Log.h>
#include <StandIns/ListenFlags.h>
#include <StandIns/ProxyPair.h>
#include <StandIns/StandInProcess.h>
#include <StandIns/StandIns.h>
#include <StandIns/SwitchReader.h>
#include <boost/json/array.hpp>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(target, "", "comma-separated endpoints to forward to, one for each of --listen");
DEFINE_string(control, "127.0.0.1:0", "IP address and port of the control endpoint");

namespace StandIns {

static std::optional<ProxyFaults> faultsFromJson(boost::json::value const& value)
{
    SwitchReader switches(value);
    ProxyFaults faults;
    switches.read("cut", faults.cut);
    switches.read("delayMs", faults.delayMs);
    switches.read("freezeToTarget", faults.freezeToTarget);
    switches.read("freezeFromTarget", faults.freezeFromTarget);
    switches.read("truncateAfterBytes", faults.truncateAfterBytes);
    switches.read("dropAnswers", faults.dropAnswers);
    if (!switches.isComplete())
        return std::nullopt;
    return faults;
}

namespace {

class ControlEndpoint {
public:
    explicit ControlEndpoint(std::vector<std::unique_ptr<ProxyPair>>& pairs)
        : m_pairs(pairs)
    {
    }

    // PUT /stand-in/faults changes all pairs, PUT /stand-in/faults?pair=<index> one of them.
    HTTP::Response handle(HTTP::Request const& request)
    {
        if (request.path() == "/stand-in/faults" && request.method == "PUT")
            return replaceFaults(request);
        if (request.path() == "/stand-in/record" && request.method == "GET")
            return record();
        return errorResponse(404, "no such call");
    }

private:
    HTTP::Response replaceFaults(HTTP::Request const& request)
    {
        auto const body = parseBody(request);
        auto const faults = body ? faultsFromJson(*body) : std::nullopt;
        if (!faults)
            return errorResponse(400, "the body has an unknown switch or a value of the wrong type");
        auto const requestedPair = request.queryParameter("pair");
        auto const index = queryNumber(request, "pair", m_pairs.size());
        if (requestedPair && index >= m_pairs.size())
            return errorResponse(404, "no such pair");
        for (std::size_t pair = 0; pair < m_pairs.size(); ++pair) {
            if (!requestedPair || pair == index)
                m_pairs[pair]->setFaults(*faults);
        }
        return jsonResponse(200, boost::json::object {});
    }

    [[nodiscard]] HTTP::Response record() const
    {
        boost::json::array pairs;
        for (auto const& pair : m_pairs) {
            pairs.push_back(boost::json::object {
                { "connections", pair->record().connections },
                { "bytesToTarget", pair->record().bytesToTarget },
                { "bytesFromTarget", pair->record().bytesFromTarget },
            });
        }
        return jsonResponse(200, boost::json::object { { "pairs", std::move(pairs) } });
    }

    std::vector<std::unique_ptr<ProxyPair>>& m_pairs;
};

}

static void checkSettings(Core::SettingChecker& checker)
{
    auto const listenEndpoints = splitList(FLAGS_listen);
    auto const targetEndpoints = splitList(FLAGS_target);
    for (auto const& endpoint : targetEndpoints)
        checker.checkEndpoint("target", endpoint);
    checker.checkEndpoint("control", FLAGS_control);
    if (targetEndpoints.empty() || listenEndpoints.size() != targetEndpoints.size())
        checker.addError("target", FLAGS_target, "as many endpoints as --listen has, at least one");
}

int runFaultProxy(int argc, char** argv)
{
    if (!prepareStandIn(argc, argv, checkSettings))
        return InvalidFlags;
    boost::asio::io_context context;
    Core::Runtime runtime(context);
    Core::Error error;
    std::vector<std::unique_ptr<ProxyPair>> pairs;
    auto const listenEndpoints = splitList(FLAGS_listen);
    auto const targetEndpoints = splitList(FLAGS_target);
    for (std::size_t index = 0; index < targetEndpoints.size(); ++index) {
        auto const pair = pairs.emplace_back(std::make_unique<ProxyPair>(runtime, *Core::parseEndpoint(targetEndpoints[index], error))).get();
        auto const bound = pair->listen(*Core::parseEndpoint(listenEndpoints[index], error), error);
        if (!bound) {
            std::fprintf(stderr, "%s\n", error.message.c_str());
            return CannotListen;
        }
        logListening("proxy" + std::to_string(index), *bound);
    }
    ControlEndpoint control(pairs);
    // serveUntilTerminated() listens on --listen, and the HTTP server of this process is the control endpoint.
    FLAGS_listen = FLAGS_control;
    return serveUntilTerminated(runtime, "control", [&control](HTTP::Request const& request, HTTP::ResponseWriter& writer) -> Core::Awaitable<void> {
        auto response = control.handle(request);
        (void)co_await writer.send(std::move(response));
    });
}

}
