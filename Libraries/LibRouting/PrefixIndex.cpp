#include <LibRouting/PrefixIndex.h>

#include <xxhash.h>

namespace Routing {

std::vector<std::uint64_t> prefixHashes(std::vector<std::string> const& promptTokens)
{
    std::vector<std::uint64_t> hashes;
    std::string prefix;
    for (std::size_t index = 0; index < promptTokens.size(); ++index) {
        if (index > 0)
            prefix += ' ';
        prefix += promptTokens[index];
        if ((index + 1) % prefixBlockTokens == 0)
            hashes.push_back(XXH3_64bits(prefix.data(), prefix.size()));
    }
    return hashes;
}

PrefixIndex::PrefixIndex(std::size_t maximumEntries)
    : m_maximumEntries(maximumEntries)
{
}

PrefixIndex::Key PrefixIndex::keyFor(std::string_view serverId, std::uint64_t prefixHash)
{
    Key key(reinterpret_cast<char const*>(&prefixHash), sizeof(prefixHash));
    key += serverId;
    return key;
}

void PrefixIndex::recordStored(std::string_view serverId, std::uint64_t prefixHash)
{
    auto key = keyFor(serverId, prefixHash);
    auto const found = m_entries.find(key);
    if (found != m_entries.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front({ std::string(serverId), prefixHash });
    m_entries.emplace(std::move(key), m_order.begin());
    if (m_entries.size() <= m_maximumEntries)
        return;
    auto const& oldest = m_order.back();
    m_entries.erase(keyFor(oldest.serverId, oldest.prefixHash));
    m_order.pop_back();
}

void PrefixIndex::recordEvicted(std::string_view serverId, std::uint64_t prefixHash)
{
    auto const found = m_entries.find(keyFor(serverId, prefixHash));
    if (found == m_entries.end())
        return;
    m_order.erase(found->second);
    m_entries.erase(found);
}

void PrefixIndex::removeServer(std::string_view serverId)
{
    for (auto entry = m_order.begin(); entry != m_order.end();) {
        if (entry->serverId != serverId) {
            ++entry;
            continue;
        }
        m_entries.erase(keyFor(entry->serverId, entry->prefixHash));
        entry = m_order.erase(entry);
    }
}

std::size_t PrefixIndex::cachedTokens(std::string_view serverId, std::vector<std::uint64_t> const& hashes) const
{
    std::size_t blocks = 0;
    while (blocks < hashes.size() && m_entries.contains(keyFor(serverId, hashes[blocks])))
        ++blocks;
    return blocks * prefixBlockTokens;
}

}
