#pragma once

#include <LibCore/Runtime.h>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Routing {

/// The block size of the engines' caches; prompts are hashed at multiples of it.
inline constexpr std::size_t prefixBlockTokens = 16;

/// XXH3 hashes of the prompt's prefixes at 16, 32, ... tokens, joined by spaces. Thread safe.
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::vector<std::string> const& promptTokens);

/// Estimates which server has which prompt prefix cached, from the engines' cache events, which arrive late and with gaps, and from
/// this node's own requests. Bounded; evicts the entries stored least recently. Not thread safe.
class PrefixIndex {
public:
    explicit PrefixIndex(std::size_t maximumEntries);

    void recordStored(std::string_view serverId, std::uint64_t prefixHash);
    void recordEvicted(std::string_view serverId, std::uint64_t prefixHash);

    /// Removes all entries of a server, for example after a restart or a gap in its cache events.
    void removeServer(std::string_view serverId);

    /// The number of leading prompt tokens that the server probably has cached.
    [[nodiscard]] std::size_t cachedTokens(std::string_view serverId, std::vector<std::uint64_t> const& hashes) const;

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::string serverId;
        std::uint64_t prefixHash;
    };
    using Key = std::string;

    static Key keyFor(std::string_view serverId, std::uint64_t prefixHash);

    std::size_t m_maximumEntries;
    // The most recently stored entry is first.
    std::list<Entry> m_order;
    std::unordered_map<Key, std::list<Entry>::iterator> m_entries;
};

}
