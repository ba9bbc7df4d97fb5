#include <StandIns/Engine.h>
#include <StandIns/ListenFlags.h>
#include <StandIns/StandIns.h>
#include <gflags/gflags.h>

DEFINE_int32(slots, 8, "number of sequences that an engine computes concurrently");
DEFINE_int32(queue_limit, 64, "maximum number of sequences that wait for a slot; further ones are refused");
DEFINE_int32(step_base_us, 8000, "fixed duration of a step in microseconds");
DEFINE_int32(step_sequence_us, 1000, "microseconds that each sequence of the batch adds to a step");
DEFINE_int32(prefill_token_us, 100, "microseconds that each prefilled token adds to a step");
DEFINE_int32(prefill_step_tokens, 256, "maximum number of tokens prefilled in one step");
DEFINE_int32(cache_blocks, 4096, "capacity of the prefix cache in blocks of 16 tokens");
DEFINE_int32(cache_event_delay_ms, 500, "milliseconds until a cache event is published");
DEFINE_int32(cache_event_loss_percent, 0, "percentage of cache events that are never published");
DEFINE_int32(load_lag_ms, 500, "minimum age of the load reports in milliseconds");
DEFINE_int32(weights_load_ms, 0, "duration of a load command in milliseconds");
DEFINE_int32(restart_ms, 1000, "milliseconds between a crash and the restart with a new incarnation");
DEFINE_bool(check_fencing, false, "refuse commands with an old fencing token");
DEFINE_string(crash_token, "", "a prompt that contains this token crashes the engine; empty disables this");
DEFINE_bool(crash_exits, false, "exit the process on a crash instead of restarting the engine");
DEFINE_uint64(engine_seed, 1, "seed of the engine's random choices");

namespace StandIns {

static void checkSettings(Core::SettingChecker& checker)
{
    static constexpr int maximumMilliseconds = 600'000;
    static constexpr int maximumMicroseconds = 10'000'000;
    static constexpr int maximumEntries = 1'000'000;
    checker.checkRange("slots", FLAGS_slots, 1, maximumEntries, "sequences");
    checker.checkRange("queue_limit", FLAGS_queue_limit, 0, maximumEntries, "sequences");
    checker.checkRange("step_base_us", FLAGS_step_base_us, 1, maximumMicroseconds, "microseconds");
    checker.checkRange("step_sequence_us", FLAGS_step_sequence_us, 0, maximumMicroseconds, "microseconds");
    checker.checkRange("prefill_token_us", FLAGS_prefill_token_us, 0, maximumMicroseconds, "microseconds");
    checker.checkRange("prefill_step_tokens", FLAGS_prefill_step_tokens, 1, maximumEntries, "tokens");
    checker.checkRange("cache_blocks", FLAGS_cache_blocks, 0, maximumEntries, "blocks");
    checker.checkRange("cache_event_delay_ms", FLAGS_cache_event_delay_ms, 0, maximumMilliseconds, "milliseconds");
    checker.checkRange("cache_event_loss_percent", FLAGS_cache_event_loss_percent, 0, 100, "percent");
    checker.checkRange("load_lag_ms", FLAGS_load_lag_ms, 0, maximumMilliseconds, "milliseconds");
    checker.checkRange("weights_load_ms", FLAGS_weights_load_ms, 0, maximumMilliseconds, "milliseconds");
    checker.checkRange("restart_ms", FLAGS_restart_ms, 0, maximumMilliseconds, "milliseconds");
    if (FLAGS_crash_exits && FLAGS_count != 1)
        checker.addError("crash_exits", "true", "true only with --count=1");
}

static EngineSettings settingsFromFlags(unsigned index)
{
    EngineSettings settings;
    settings.simulator.slots = static_cast<std::size_t>(FLAGS_slots);
    settings.simulator.queueLimit = static_cast<std::size_t>(FLAGS_queue_limit);
    settings.simulator.stepBase = std::chrono::microseconds(FLAGS_step_base_us);
    settings.simulator.stepPerSequence = std::chrono::microseconds(FLAGS_step_sequence_us);
    settings.simulator.stepPerPrefillToken = std::chrono::microseconds(FLAGS_prefill_token_us);
    settings.simulator.prefillTokensPerStep = static_cast<std::size_t>(FLAGS_prefill_step_tokens);
    settings.simulator.cache.capacityBlocks = static_cast<std::size_t>(FLAGS_cache_blocks);
    settings.simulator.cache.eventDelay = std::chrono::milliseconds(FLAGS_cache_event_delay_ms);
    settings.simulator.cache.eventLossPercent = static_cast<unsigned>(FLAGS_cache_event_loss_percent);
    settings.simulator.seed = FLAGS_engine_seed + index;
    settings.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    settings.weightsLoad = std::chrono::milliseconds(FLAGS_weights_load_ms);
    settings.restartDelay = std::chrono::milliseconds(FLAGS_restart_ms);
    settings.fencingCheck = FLAGS_check_fencing ? FencingCheck::On : FencingCheck::Off;
    settings.crashScope = FLAGS_crash_exits ? CrashScope::Process : CrashScope::Engine;
    settings.crashToken = FLAGS_crash_token;
    return settings;
}

int runEngine(int argc, char** argv)
{
    auto const makeEngine = [](Core::Runtime& runtime, unsigned index) -> std::unique_ptr<Backend> {
        return std::make_unique<Engine>(runtime, settingsFromFlags(index));
    };
    return runBackends(argc, argv, "engine", checkSettings, makeEngine);
}

}
