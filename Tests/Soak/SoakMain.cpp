#include <Soak/SoakRun.h>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_uint64(first_seed, 1, "the seed of the first run");
DEFINE_uint64(runs, 50, "runs, one for each seed from the first on");
DEFINE_uint64(nodes, 3, "processes of entry hosts");
DEFINE_uint64(servers, 4, "backend servers");
DEFINE_uint64(seconds, 10, "length of the faults of a run, in seconds");
DEFINE_string(log_directory, ".", "where the logs of a run that broke a promise are kept");

// Plays runs by hand and prints one line for each. Exit code 1 if a promise was broken.
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bool hasViolations = false;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_runs; ++seed) {
        auto const result = Soak::runSoak({ .seed = seed, .nodes = FLAGS_nodes, .servers = FLAGS_servers, .length = std::chrono::seconds(static_cast<std::int64_t>(FLAGS_seconds)) });
        std::printf("seed %lu: %zu requests, %zu answered, %zu refused, %zu failed, %zu violations\n", seed, result.requests, result.answered, result.refused, result.failed, result.violations.size());
        for (auto const& violation : result.violations)
            std::printf("  %s\n", violation.c_str());
        std::fflush(stdout);
        if (result.violations.empty())
            continue;
        hasViolations = true;
        std::ofstream(FLAGS_log_directory + "/soak-" + std::to_string(seed) + ".log") << result.logs;
    }
    return hasViolations ? 1 : 0;
}
