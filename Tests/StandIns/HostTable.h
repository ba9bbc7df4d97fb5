#pragma once

#include <LibCore/Runtime.h>
#include <LibPlatform/Cloud.h>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace StandIns {

/// The hosts of the platform stand-in, with a history of host lists to simulate a lagging list. Not thread safe.
class HostTable {
public:
    explicit HostTable(Core::Runtime&);

    /// Adds hosts, or replaces those with the same id.
    void addOrReplace(std::vector<Platform::Host> const&);

    /// Ids that do not exist are ignored.
    void remove(std::vector<std::string> const& ids);

    /// Marks the matching hosts that are not leaving yet as leaving. Returns their ids.
    std::vector<std::string> markLeaving(std::function<bool(Platform::Host const&)> const& matches);

    [[nodiscard]] bool contains(std::string const& id) const { return m_hosts.contains(id); }

    /// The host list as it was the given time ago, in the order of ids.
    [[nodiscard]] std::vector<Platform::Host> listWithLag(Core::Duration lag) const;

private:
    struct Snapshot {
        Core::MonotonicTime takenAt;
        std::vector<Platform::Host> hosts;
    };

    void addSnapshot();

    Core::Runtime& m_runtime;
    std::map<std::string, Platform::Host> m_hosts;
    std::deque<Snapshot> m_snapshots;
};

}
