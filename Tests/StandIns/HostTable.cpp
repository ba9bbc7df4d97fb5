#include <StandIns/HostTable.h>

namespace StandIns {

HostTable::HostTable(Core::Runtime& runtime)
    : m_runtime(runtime)
{
}

void HostTable::addOrReplace(std::vector<Platform::Host> const& hosts)
{
    for (auto const& host : hosts)
        m_hosts[host.id] = host;
    addSnapshot();
}

void HostTable::remove(std::vector<std::string> const& ids)
{
    for (auto const& id : ids)
        m_hosts.erase(id);
    addSnapshot();
}

std::vector<std::string> HostTable::markLeaving(std::function<bool(Platform::Host const&)> const& matches)
{
    std::vector<std::string> ids;
    for (auto& [id, host] : m_hosts) {
        if (host.state == Platform::HostState::Leaving || !matches(host))
            continue;
        host.state = Platform::HostState::Leaving;
        ids.push_back(id);
    }
    addSnapshot();
    return ids;
}

std::vector<Platform::Host> HostTable::listWithLag(Core::Duration lag) const
{
    auto const asOf = m_runtime.now() - lag;
    for (auto snapshot = m_snapshots.rbegin(); snapshot != m_snapshots.rend(); ++snapshot) {
        if (snapshot->takenAt <= asOf)
            return snapshot->hosts;
    }
    return {};
}

void HostTable::addSnapshot()
{
    // A host list of the size the design assumes is about 300 KB, so this limits the history to about 80 MB.
    static constexpr std::size_t maximumSnapshots = 256;
    Snapshot snapshot { m_runtime.now(), {} };
    for (auto const& [id, host] : m_hosts)
        snapshot.hosts.push_back(host);
    m_snapshots.push_back(std::move(snapshot));
    if (m_snapshots.size() > maximumSnapshots)
        m_snapshots.pop_front();
}

}
