#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Forward {

/// Cuts the bytes of a text/event-stream into whole events without changing them, so that a stream which breaks off within
/// an event can be continued after the last whole one. Not thread safe.
class EventSplitter {
public:
    /// Adds received bytes and returns the whole events that they complete, closing blank lines included.
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// The bytes of an event that is not complete.
    [[nodiscard]] std::string const& partial() const { return m_partial; }

    /// Drops the bytes of an incomplete event, before a new run continues the stream.
    void dropPartial() { m_partial.clear(); }

    /// The `id` of the last whole event.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const { return m_lastId; }

    [[nodiscard]] std::uint64_t eventCount() const { return m_eventCount; }

private:
    void recordEvent(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount { 0 };
};

}
