#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HTTP {

/// One event of a text/event-stream (HTML Living Standard, section 9.2).
struct ServerSentEvent {
    std::string id;
    std::string data;

    bool operator==(ServerSentEvent const&) const = default;
};

/// Formats an event with its `id` (if any) and `data` lines and the closing blank line. Thread safe.
[[nodiscard]] std::string formatEvent(ServerSentEvent const&);

/// Splits the bytes of an event stream into events. An event is returned only after its closing blank line has arrived,
/// so a truncated event is never returned. Not thread safe.
class ServerSentEventParser {
public:
    /// Adds received bytes and returns the events completed by them.
    [[nodiscard]] std::vector<ServerSentEvent> feed(std::string_view bytes);

private:
    void consumeLine(std::string_view line, std::vector<ServerSentEvent>& events);

    std::string m_partialLine;
    ServerSentEvent m_event;
    bool m_hasData { false };
};

}
