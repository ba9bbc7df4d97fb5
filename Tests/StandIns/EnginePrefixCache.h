#pragma once

#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace StandIns {

/// A cache change that the engine publishes.
struct CacheEvent {
    enum class Type {
        Stored,
        Evicted,
    };

    std::uint64_t sequence { 0 };
    Type type { Type::Stored };
    std::uint64_t prefixHash { 0 };
    std::size_t tokens { 0 };
    Core::MonotonicTime publishedAt;
};

struct CacheSettings {
    std::size_t capacityBlocks { 4096 };
    Core::Duration eventDelay { std::chrono::milliseconds(500) };
    /// The percentage of events that are never published.
    unsigned eventLossPercent { 0 };
};

/// A bounded cache of prompt prefixes in blocks of 16 tokens that evicts the least recently used block. Not thread safe.
class EnginePrefixCache {
public:
    static constexpr std::size_t blockTokens = 16;

    EnginePrefixCache(CacheSettings const&, std::uint64_t seed);

    /// Returns the number of cached tokens from the start of the prompt, and marks their blocks as the most recently used.
    [[nodiscard]] std::size_t find(std::span<std::string const> prompt);

    /// Stores all complete blocks of the prompt.
    void store(std::span<std::string const> prompt, Core::MonotonicTime now);

    /// The events after the given sequence that are published by now. The oldest events are dropped, which leaves a gap.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t sequence, Core::MonotonicTime now) const;

    /// Removes all blocks and events, as a restart does.
    void clear();

private:
    struct Block {
        std::uint64_t hash { 0 };
        std::size_t tokens { 0 };
    };

    void touch(std::span<std::uint64_t const> hashes);
    void publish(CacheEvent::Type, Block const&, Core::MonotonicTime now);

    CacheSettings m_settings;
    Core::Random m_random;
    /// Ordered from the most to the least recently used block.
    std::list<Block> m_blocks;
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSequence { 0 };
};

}
