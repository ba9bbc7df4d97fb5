#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Forward {

/// Splits the bytes of a text/event-stream into complete events without changing them, so that a stream interrupted within an
/// event can be resumed after the last complete one. Not thread safe.
class EventSplitter {
public:
    /// Adds received bytes and returns the events that they complete, including the terminating blank lines.
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// The bytes received of an incomplete event.
    [[nodiscard]] std::string const& partial() const { return m_partial; }

    /// Drops the bytes of an incomplete event, before another server resumes the stream.
    void dropPartial() { m_partial.clear(); }

    /// Replaces the bytes of an incomplete event by those that partial() returned earlier, before the server that sent them is read further.
    void restorePartial(std::string partial) { m_partial = std::move(partial); }

    /// The last `id` field among the complete events.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const { return m_lastId; }

    [[nodiscard]] std::uint64_t eventCount() const { return m_eventCount; }

private:
    void recordEvent(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount { 0 };
};

}
