#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Client.h>
#include <Load/Arrivals.h>
#include <Load/CompletionResponse.h>
#include <Load/Mix.h>
#include <Load/RequestFactory.h>
#include <Load/Statistics.h>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Load {

struct RunSettings {
    std::vector<Core::Endpoint> targets;
    std::string defaultKey;
    std::uint64_t seed { 1 };
    /// The time during which requests arrive.
    Core::Duration duration { std::chrono::seconds(10) };
    /// The time to wait for requests after the last arrival before they are counted as open.
    Core::Duration drainTime { std::chrono::seconds(30) };
    /// The timeout of requests whose class has no deadline.
    Core::Duration timeout { std::chrono::seconds(120) };
    /// The number of times that an interrupted streamed response is resumed.
    unsigned maximumResumes { 8 };
};

/// Called once for each completed request, with one JSON object.
using Trace = std::function<void(boost::json::object const&)>;

/// Sends the requests of a mix in an open loop: arrivals do not wait for responses, and latencies are measured from the
/// intended arrival time. Not thread safe.
class LoadRunner {
public:
    /// The runtime and the client must outlive the runner, and the runner must outlive the tasks of the runtime.
    LoadRunner(Core::Runtime&, HTTP::Client&, Mix, RunSettings, Trace);

    /// Sends all requests and returns the results of the run.
    [[nodiscard]] Core::Awaitable<RunStatistics> run();

    /// Stops the arrivals immediately and makes run() return; unfinished requests are counted as open.
    void stop();

private:
    struct Call {
        std::size_t classIndex { 0 };
        Core::MonotonicTime intendedAt;
        PlannedRequest planned;
        Core::MonotonicTime deadline;

        std::string requestId;
        unsigned status { 0 };
        std::string text;
        std::uint64_t tokens { 0 };
        std::optional<Core::MonotonicTime> lastTokenAt;
        std::optional<Failure> failure;
    };

    Core::Awaitable<void> generateArrivals(std::size_t classIndex);
    Core::Awaitable<void> perform(std::size_t classIndex, Core::MonotonicTime intendedAt, PlannedRequest);
    Core::Awaitable<void> performBuffered(Call&);
    Core::Awaitable<void> performStreamed(Call&);
    Core::Awaitable<std::unique_ptr<HTTP::ResponseStream>> openStream(Call&, HTTP::Request const&, Core::Error&);
    Core::Awaitable<bool> readStream(Call&, StreamedResponse&, HTTP::ResponseStream&, Core::Error&);
    void recordTokens(Call&, std::uint64_t tokens);
    void finish(Call&);
    void traceCall(Call const&);

    ClassStatistics& statisticsOf(Call const& call) { return m_statistics.classes[call.classIndex]; }

    Core::Runtime& m_runtime;
    HTTP::Client& m_client;
    Mix m_mix;
    RunSettings m_settings;
    Trace m_trace;
    RunStatistics m_statistics;
    std::vector<BurstWindow> m_bursts;
    Core::MonotonicTime m_startedAt;
    Core::MonotonicTime m_arrivalsEndAt;
    std::size_t m_nextTarget { 0 };
    std::uint64_t m_nextOpenId { 0 };
    struct OpenCall {
        std::size_t classIndex { 0 };
        Core::MonotonicTime intendedAt;
    };
    std::map<std::uint64_t, OpenCall> m_openCalls;
    std::size_t m_activeGenerators { 0 };
    bool m_stopped { false };
    Core::AsyncEvent m_progress;
};

}
