#include <StandIns/ObjectTable.h>

namespace StandIns {

using Platform::ObjectEvent;
using Platform::ObjectEventKind;
using Platform::ObjectKey;
using Platform::StoredObject;

StoredObject const* ObjectTable::find(ObjectKey const& key) const
{
    auto const found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::vector<StoredObject> ObjectTable::list(std::string const& kind) const
{
    std::vector<StoredObject> objects;
    for (auto row = m_objects.lower_bound({ kind, "" }); row != m_objects.end() && row->first.kind == kind; ++row)
        objects.push_back(row->second);
    return objects;
}

std::uint64_t ObjectTable::put(ObjectKey const& key, std::string value)
{
    StoredObject object { key, { 0, ++m_version }, std::move(value) };
    m_objects[key] = object;
    addEvent(ObjectEventKind::Put, std::move(object));
    return m_version;
}

std::uint64_t ObjectTable::remove(ObjectKey const& key)
{
    auto node = m_objects.extract(key);
    node.mapped().resourceVersion = { 0, ++m_version };
    addEvent(ObjectEventKind::Removed, std::move(node.mapped()));
    return m_version;
}

std::optional<std::vector<ObjectEvent>> ObjectTable::changesAfter(std::string const& kind, std::uint64_t version) const
{
    // Versions restart with the stand-in, so a higher version is from an earlier process.
    if (version > m_version)
        return std::nullopt;
    std::vector<ObjectEvent> changes;
    auto const history = m_histories.find(kind);
    if (history == m_histories.end())
        return changes;
    if (version < history->second.lastDroppedVersion)
        return std::nullopt;
    for (auto const& event : history->second.events) {
        if (event.object.resourceVersion.number > version)
            changes.push_back(event);
    }
    return changes;
}

void ObjectTable::addEvent(ObjectEventKind kind, StoredObject object)
{
    // Limits the memory for a kind whose values are near the limit of 1 MB.
    static constexpr std::size_t maximumValueBytes = 64 * 1024 * 1024;
    auto& history = m_histories[object.key.kind];
    history.valueBytes += object.value.size();
    history.events.push_back({ kind, std::move(object) });
    while (history.events.size() > m_maximumEventsPerKind || history.valueBytes > maximumValueBytes) {
        auto const& oldest = history.events.front().object;
        history.lastDroppedVersion = oldest.resourceVersion.number;
        history.valueBytes -= oldest.value.size();
        history.events.pop_front();
    }
}

}
