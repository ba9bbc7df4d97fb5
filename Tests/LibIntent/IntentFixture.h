#pragma once

#include <LibIntent/IntentJournal.h>
#include <Support/MemoryObjectStore.h>
#include <cstdio>

namespace IntentTest {

/// Returns a UUIDv7 with the given time in milliseconds since the Unix epoch.
inline std::string makeKey(std::uint64_t milliseconds, Core::Random& random)
{
    char buffer[48];
    auto const low = random.bits();
    std::snprintf(buffer, sizeof(buffer), "%08x-%04x-7%03x-8%03x-%012llx", static_cast<unsigned>(milliseconds >> 16), static_cast<unsigned>(milliseconds & 0xffff), static_cast<unsigned>(low & 0xfff), static_cast<unsigned>((low >> 12) & 0xfff), static_cast<unsigned long long>(random.bits() & 0xffffffffffffULL));
    return buffer;
}

/// One simulated node with its own clock, its own connection to the shared objects, and a journal.
struct Node {
    Node(boost::asio::io_context& context, std::shared_ptr<TestSupport::MemoryObjects> objects, Core::Runtime& network, std::string const& id, std::uint64_t seed, Intent::IntentSettings const& settings)
        : runtime(context)
        , random(seed)
        , store(runtime, random, std::move(objects), &network)
        , journal(runtime, store, random, metrics, id, settings)
    {
        runtime.pause();
    }

    Core::Runtime runtime;
    Core::Random random;
    Core::Metrics metrics;
    TestSupport::MemoryObjectStore store;
    Intent::IntentJournal journal;
    bool isStopped { false };
    /// Time to advance the clock by when the pause ends.
    Core::Duration unappliedTime { 0 };
    int pausedSteps { 0 };
};

}
