#include <StandIns/EnginePrefixCache.h>

#include <memory>
#include <xxhash.h>

namespace StandIns {

static constexpr std::size_t maximumRetainedEvents = 10'000;

// The hash of each prefix whose length is a multiple of the block size, shortest first.
static std::vector<std::uint64_t> prefixHashes(std::span<std::string const> prompt)
{
    std::vector<std::uint64_t> hashes(prompt.size() / EnginePrefixCache::blockTokens);
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> const state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    std::size_t next = 0;
    for (auto& hash : hashes) {
        for (std::size_t block = 0; block < EnginePrefixCache::blockTokens; ++block, ++next) {
            if (next > 0)
                XXH3_64bits_update(state.get(), " ", 1);
            XXH3_64bits_update(state.get(), prompt[next].data(), prompt[next].size());
        }
        hash = XXH3_64bits_digest(state.get());
    }
    return hashes;
}

EnginePrefixCache::EnginePrefixCache(CacheSettings const& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

// Touches the longest prefix first, so that the start of a prompt is evicted last: every longer prefix depends on it.
void EnginePrefixCache::touch(std::span<std::uint64_t const> hashes)
{
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash)
        m_blocks.splice(m_blocks.begin(), m_blocks, m_index.at(*hash));
}

std::size_t EnginePrefixCache::find(std::span<std::string const> prompt)
{
    auto hashes = prefixHashes(prompt);
    std::size_t blocks = 0;
    while (blocks < hashes.size() && m_index.contains(hashes[blocks]))
        ++blocks;
    hashes.resize(blocks);
    touch(hashes);
    return blocks * blockTokens;
}

void EnginePrefixCache::store(std::span<std::string const> prompt, Core::MonotonicTime now)
{
    auto const hashes = prefixHashes(prompt);
    std::size_t tokens = 0;
    for (auto const hash : hashes) {
        tokens += blockTokens;
        if (m_index.contains(hash))
            continue;
        m_blocks.push_front({ hash, tokens });
        m_index.emplace(hash, m_blocks.begin());
        publish(CacheEvent::Type::Stored, m_blocks.front(), now);
    }
    touch(hashes);
    while (m_blocks.size() > m_settings.capacityBlocks) {
        publish(CacheEvent::Type::Evicted, m_blocks.back(), now);
        m_index.erase(m_blocks.back().hash);
        m_blocks.pop_back();
    }
}

void EnginePrefixCache::publish(CacheEvent::Type type, Block const& block, Core::MonotonicTime now)
{
    ++m_lastSequence;
    if (m_random.below(100) < m_settings.eventLossPercent)
        return;
    m_events.push_back({ m_lastSequence, type, block.hash, block.tokens, now + m_settings.eventDelay });
    if (m_events.size() > maximumRetainedEvents)
        m_events.pop_front();
}

std::vector<CacheEvent> EnginePrefixCache::eventsAfter(std::uint64_t sequence, Core::MonotonicTime now) const
{
    std::vector<CacheEvent> events;
    for (auto const& event : m_events) {
        if (event.publishedAt > now)
            break;
        if (event.sequence > sequence)
            events.push_back(event);
    }
    return events;
}

void EnginePrefixCache::clear()
{
    m_blocks.clear();
    m_index.clear();
    m_events.clear();
    // Sequences restart, as in a new process.
    m_lastSequence = 0;
}

}
