#pragma once

#include <LibPlatform/ObjectStore.h>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace StandIns {

/// The objects of the platform stand-in, with a bounded history of changes for each kind. Not thread safe.
class ObjectTable {
public:
    /// Keeps the given number of changes of each kind. Precondition: at least 1.
    explicit ObjectTable(std::size_t maximumEventsPerKind)
        : m_maximumEventsPerKind(maximumEventsPerKind)
    {
    }

    /// Returns null if the object does not exist. The pointer is valid until the next change.
    [[nodiscard]] Platform::StoredObject const* find(Platform::ObjectKey const&) const;

    /// The objects of a kind in the order of names.
    [[nodiscard]] std::vector<Platform::StoredObject> list(std::string const& kind) const;

    /// Creates or replaces an object and returns its new version.
    std::uint64_t put(Platform::ObjectKey const&, std::string value);

    /// Returns the version of the removal. Precondition: the object exists.
    std::uint64_t remove(Platform::ObjectKey const&);

    /// The version of the last change of any object.
    [[nodiscard]] std::uint64_t version() const { return m_version; }

    /// The changes of a kind after a version, or nothing if the history no longer has all of them or the version was never
    /// assigned.
    [[nodiscard]] std::optional<std::vector<Platform::ObjectEvent>> changesAfter(std::string const& kind, std::uint64_t version) const;

private:
    struct KindHistory {
        std::deque<Platform::ObjectEvent> events;
        std::size_t valueBytes { 0 };
        std::uint64_t lastDroppedVersion { 0 };
    };

    void addEvent(Platform::ObjectEventKind, Platform::StoredObject);

    std::size_t m_maximumEventsPerKind;
    std::uint64_t m_version { 0 };
    std::map<Platform::ObjectKey, Platform::StoredObject> m_objects;
    std::map<std::string, KindHistory> m_histories;
};

}
