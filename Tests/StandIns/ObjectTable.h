#pragma once

#include <LibPlatform/ObjectStore.h>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace StandIns {

/// The objects of the platform stand-in with a bounded history of changes per kind. Not thread safe.
class ObjectTable {
public:
    /// The history is the number of changes kept for each kind. Precondition: at least 1.
    explicit ObjectTable(std::size_t history)
        : m_history(history)
    {
    }

    /// Null if the object does not exist; valid until the next change.
    [[nodiscard]] Platform::StoredObject const* find(Platform::ObjectKey const&) const;

    /// The objects of a kind in the order of names.
    [[nodiscard]] std::vector<Platform::StoredObject> list(std::string const& kind) const;

    /// Creates or replaces an object and returns its new version.
    std::uint64_t put(Platform::ObjectKey const&, std::string value);

    /// Precondition: the object exists. Returns the version of the removal.
    std::uint64_t remove(Platform::ObjectKey const&);

    /// The version of the last change of any object.
    [[nodiscard]] std::uint64_t version() const { return m_version; }

    /// The changes of a kind after a version; nothing if some of them are no longer in the history, or if the version has
    /// never been given out.
    [[nodiscard]] std::optional<std::vector<Platform::ObjectEvent>> changesAfter(std::string const& kind, std::uint64_t version) const;

private:
    struct KindHistory {
        std::deque<Platform::ObjectEvent> events;
        std::uint64_t lastDroppedVersion { 0 };
    };

    void addEvent(Platform::ObjectEventKind, Platform::StoredObject);

    std::size_t m_history;
    std::uint64_t m_version { 0 };
    std::map<Platform::ObjectKey, Platform::StoredObject> m_objects;
    std::map<std::string, KindHistory> m_histories;
};

}
