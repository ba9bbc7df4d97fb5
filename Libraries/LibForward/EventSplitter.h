#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Forward {

/// Splits the bytes of a text/event-stream whose events have increasing ids into complete events without changing them, so that a stream
/// interrupted within an event can be resumed after the last complete one. Not thread safe.
class EventSplitter {
public:
    /// Adds received bytes and returns the events that they complete, including the terminating blank lines, up to one that is out of
    /// order.
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// The bytes received of an incomplete event.
    [[nodiscard]] std::string const& partial() const { return m_partial; }

    /// Whether an event had no id, or none above the last one, as an error's text or an event that was sent before.
    [[nodiscard]] bool isOutOfOrder() const { return m_isOutOfOrder; }

    /// Drops the bytes of an incomplete or unexpected event, before another server resumes the stream.
    void dropPartial()
    {
        m_partial.clear();
        m_isOutOfOrder = false;
    }

    /// Replaces the bytes of an incomplete event by those that partial() returned earlier, before the server that sent them is read further.
    void restorePartial(std::string partial)
    {
        m_partial = std::move(partial);
        m_isOutOfOrder = false;
    }

    /// The id of the last complete event.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// The number of complete events without comments.
    [[nodiscard]] std::uint64_t eventCount() const { return m_eventCount; }

private:
    [[nodiscard]] bool recordEvent(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount { 0 };
    bool m_isOutOfOrder { false };
};

}
