#include <Soak/SoakRun.h>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>

DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_uint64(runs, 50, "number of runs, with consecutive seeds");
DEFINE_uint64(nodes, 3, "number of edge processes");
DEFINE_uint64(servers, 4, "number of backend servers");
DEFINE_uint64(seconds, 10, "time during which faults are injected in a run, in seconds");
DEFINE_uint64(restorations, 2, "number of times in a run that the store returns from a copy");
DEFINE_uint64(refusals, 2, "number of times in a run that a server refuses requests and asks for a pause");
DEFINE_string(log_directory, ".", "directory for the logs of runs with violations");

// Runs a range of seeds and prints one line for each. Exit code 1 if any run had violations.
int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bool hasViolations = false;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_runs; ++seed) {
        auto const result = Soak::runSoak({ .seed = seed, .nodes = FLAGS_nodes, .servers = FLAGS_servers, .length = std::chrono::seconds(static_cast<std::int64_t>(FLAGS_seconds)), .restorations = FLAGS_restorations, .refusals = FLAGS_refusals });
        std::printf("seed %lu: %zu requests, %zu answered, %zu refused, %zu failed, %zu repeats, %zu violations\n", seed, result.requests, result.answered, result.refused, result.failed, result.repeats, result.violations.size());
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
