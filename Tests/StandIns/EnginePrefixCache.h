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

/// A change of the cache as the engine publishes it.
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
    /// The share of events that are never published, as a percentage.
    unsigned eventLossPercent { 0 };
};

/// A bounded cache of prompt prefixes in blocks of 16 tokens; the least recently used block goes first. Not thread safe.
class EnginePrefixCache {
public:
    static constexpr std::size_t blockTokens = 16;

    EnginePrefixCache(CacheSettings const&, std::uint64_t seed);

    /// The number of tokens from the start of the prompt that are cached; they become the most recently used ones.
    [[nodiscard]] std::size_t find(std::span<std::string const> prompt);

    /// Stores all whole blocks of the prompt.
    void store(std::span<std::string const> prompt, Core::MonotonicTime now);

    /// The events with a sequence after the given one that are published by now. Old events are dropped, which leaves a gap.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t sequence, Core::MonotonicTime now) const;

    /// Forgets the blocks and the events, as a restart does.
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
    /// The most recently used block comes first.
    std::list<Block> m_blocks;
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_index;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSequence { 0 };
};

}
