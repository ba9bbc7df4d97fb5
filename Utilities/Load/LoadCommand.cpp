#include <Load/LoadCommand.h>

#include <Hyssopstep/Command.h>
#include <LibCore/CommandLine.h>
#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <Load/LoadRunner.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(mix, "", "file with the mix of requests, see docs/load.md");
DEFINE_string(targets, "", "comma-separated IP addresses and ports of the nodes, used round-robin");
DEFINE_string(key, "", "bearer key of teams that have no key in the mix");
DEFINE_uint64(seed, 1, "seed of the arrivals and requests");
DEFINE_double(duration, 10, "seconds during which requests arrive");
DEFINE_double(drain, 30, "seconds to wait for requests after the last arrival before they are counted as open");
DEFINE_double(rate_factor, 1, "factor by which all arrival rates of the mix are multiplied");
DEFINE_int32(timeout_ms, 120'000, "timeout in milliseconds of requests without a deadline");
DEFINE_int32(maximum_resumes, 8, "number of times that an interrupted streamed response is resumed at another target");
DEFINE_string(json, "", "file for the results as JSON; - for standard output instead of the table");
DEFINE_string(trace, "", "file for one line of JSON per completed request");

namespace Load {

static Core::CommandDescription commandDescription()
{
    return {
        .usage = "load --mix=FILE --targets=IP:PORT,... [FLAG...]",
        .description = "Sends a mix of requests in an open loop and measures latencies from the intended arrival times.",
        .flags = {
            { "mix", "FILE", "" },
            { "targets", "IP:PORT,...", "" },
            { "key", "", "" },
            { "seed", "", "" },
            { "duration", "s", "" },
            { "drain", "s", "" },
            { "rate_factor", "", "" },
            { "timeout_ms", "ms, 1 to 86400000", "" },
            { "maximum_resumes", "0 to 1000", "" },
            { "json", "FILE", "" },
            { "trace", "FILE", "" },
        },
    };
}

static std::vector<Core::Endpoint> parseTargets(std::string const& list, Core::SettingChecker& checker)
{
    std::vector<Core::Endpoint> targets;
    std::istringstream stream(list);
    std::string part;
    while (std::getline(stream, part, ',')) {
        Core::Error error;
        if (auto const endpoint = Core::parseEndpoint(part, error))
            targets.push_back(*endpoint);
        else
            checker.addError("targets", part, "IP addresses and ports, such as 127.0.0.1:8080,127.0.0.1:8081");
    }
    if (targets.empty())
        checker.checkNotEmpty("targets", "", "at least one node, such as 127.0.0.1:8080");
    return targets;
}

static Core::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(seconds));
}

static void checkPositive(Core::SettingChecker& checker, std::string_view name, double value, std::string_view expected)
{
    static constexpr double maximum = 1'000'000;
    if (!(value > 0 && value <= maximum))
        checker.addError(name, std::to_string(value), expected);
}

static RunSettings settingsFromFlags(Core::SettingChecker& checker)
{
    static constexpr int maximumMilliseconds = 86'400'000;
    static constexpr int maximumResumes = 1000;
    checker.checkNotEmpty("mix", FLAGS_mix, "a file, such as Examples/mixes/cypress-hollow.yaml");
    checkPositive(checker, "duration", FLAGS_duration, "more than 0 and at most 1000000 seconds");
    checkPositive(checker, "rate_factor", FLAGS_rate_factor, "more than 0 and at most 1000000");
    if (!(FLAGS_drain >= 0))
        checker.addError("drain", std::to_string(FLAGS_drain), "at least 0 seconds");
    checker.checkRange("timeout_ms", FLAGS_timeout_ms, 1, maximumMilliseconds, "milliseconds");
    checker.checkRange("maximum_resumes", FLAGS_maximum_resumes, 0, maximumResumes, "times");
    RunSettings settings;
    settings.targets = parseTargets(FLAGS_targets, checker);
    settings.defaultKey = FLAGS_key;
    settings.seed = FLAGS_seed;
    settings.duration = fromSeconds(FLAGS_duration);
    settings.drainTime = fromSeconds(FLAGS_drain);
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    settings.maximumResumes = static_cast<unsigned>(FLAGS_maximum_resumes);
    return settings;
}

static Core::Awaitable<void> runAndStop(Core::Runtime& runtime, LoadRunner& runner, RunStatistics& statistics)
{
    statistics = co_await runner.run();
    runtime.context().stop();
}

static bool writeResults(RunStatistics const& statistics)
{
    auto const text = boost::json::serialize(toJson(statistics)) + "\n";
    if (FLAGS_json == "-") {
        std::cout << text << std::flush;
        return static_cast<bool>(std::cout);
    }
    std::cout << toTable(statistics) << std::flush;
    if (FLAGS_json.empty())
        return true;
    std::ofstream file(FLAGS_json);
    file << text << std::flush;
    if (!file)
        std::fprintf(stderr, "cannot write %s\n", FLAGS_json.c_str());
    return static_cast<bool>(file);
}

int runLoadCommand(int argc, char** argv)
{
    auto const description = commandDescription();
    auto parsed = Core::parseCommandLine(description, argc, argv);
    if (parsed.help) {
        std::fputs(parsed.help->c_str(), stdout);
        return Hyssopstep::Success;
    }
    Core::configureLog(Core::LogLevel::Info, "load", Core::LogStream::StandardError);
    auto errors = std::move(parsed.errors);
    Core::SettingChecker checker;
    auto settings = settingsFromFlags(checker);
    errors.insert(errors.end(), checker.errors().begin(), checker.errors().end());
    Core::Error error;
    auto mix = FLAGS_mix.empty() ? std::nullopt : readMixFile(FLAGS_mix, error);
    if (!mix && !FLAGS_mix.empty())
        errors.push_back(error.message);
    for (auto const& line : errors)
        std::fprintf(stderr, "%s\n", line.c_str());
    if (!errors.empty())
        return Hyssopstep::Usage;
    for (auto& requestClass : mix->classes)
        requestClass.ratePerSecond *= FLAGS_rate_factor;

    Trace trace;
    std::ofstream traceFile;
    if (!FLAGS_trace.empty()) {
        traceFile.open(FLAGS_trace);
        trace = [&traceFile](boost::json::object const& line) { traceFile << boost::json::serialize(line) << '\n'; };
    }
    RunStatistics statistics;
    boost::asio::io_context context(1);
    Core::Runtime runtime(context);
    // Keeps enough idle connections for a burst; the client's default is sized for a node.
    static constexpr std::size_t idleConnectionsPerTarget = 1024;
    HTTP::Client client(runtime, { .idleConnectionsPerEndpoint = idleConnectionsPerTarget });
    LoadRunner runner(runtime, client, std::move(*mix), std::move(settings), std::move(trace));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&runner](boost::system::error_code errorCode, int) {
        if (!errorCode)
            runner.stop();
    });
    runtime.spawn(runAndStop(runtime, runner, statistics));
    context.run();
    traceFile.flush();
    bool const succeeded = writeResults(statistics) && (FLAGS_trace.empty() || traceFile);
    return succeeded ? Hyssopstep::Success : Hyssopstep::Failure;
}

}
