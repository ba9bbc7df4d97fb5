#include <StandIns/PlatformStandIn.h>
#include <StandIns/StandInProcess.h>
#include <StandIns/StandIns.h>
#include <gflags/gflags.h>

// The defaults follow the platform limits in docs/design.md, section 1: several hundred writes/s and about 2,000 reads/s.
DEFINE_uint64(writes_per_second, 500, "limit of object writes per second; 0 means no limit");
DEFINE_uint64(reads_per_second, 2000, "limit of object reads, lists and watches per second; 0 means no limit");
DEFINE_uint64(history_per_kind, 1000, "number of changes of each object kind that are kept for watches");
DEFINE_uint64(weights_bytes, 1'000'000, "size of each set of weights in the weight store");
DEFINE_uint64(weights_bytes_per_second, 10'000'000, "throughput of the weight store, shared by all downloads");

namespace StandIns {

int runPlatform(int argc, char** argv)
{
    auto const checkSettings = [](Core::SettingChecker& checker) {
        static constexpr std::int64_t maximumHistory = 1'000'000;
        checker.checkRange("history_per_kind", static_cast<std::int64_t>(FLAGS_history_per_kind), 1, maximumHistory, "changes");
        checker.checkRange("weights_bytes_per_second", static_cast<std::int64_t>(FLAGS_weights_bytes_per_second), 1, INT64_MAX, "bytes/s");
    };
    if (!prepareStandIn(argc, argv, checkSettings))
        return InvalidFlags;
    PlatformSettings settings { FLAGS_history_per_kind, FLAGS_weights_bytes, {} };
    settings.initialFaults.writesPerSecond = FLAGS_writes_per_second;
    settings.initialFaults.readsPerSecond = FLAGS_reads_per_second;
    settings.initialFaults.weightsBytesPerSecond = FLAGS_weights_bytes_per_second;
    boost::asio::io_context context;
    Core::Runtime runtime(context);
    PlatformStandIn platform(runtime, settings);
    return serveUntilTerminated(runtime, "platform", [&platform](HTTP::Request const& request, HTTP::ResponseWriter& writer) {
        return platform.handle(request, writer);
    });
}

}
