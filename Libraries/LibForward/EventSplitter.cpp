#include <LibForward/EventSplitter.h>

#include <charconv>

namespace Forward {

// HTML Living Standard, section 9.2: an event ends with a blank line. Only LF and CRLF line endings are recognised.
static std::size_t endOfFirstEvent(std::string_view bytes)
{
    auto const lfEnd = bytes.find("\n\n");
    auto const crlfEnd = bytes.find("\r\n\r\n");
    if (lfEnd == std::string_view::npos && crlfEnd == std::string_view::npos)
        return std::string_view::npos;
    if (lfEnd < crlfEnd)
        return lfEnd + 2;
    return crlfEnd + 4;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    // The end of an event may have begun in the bytes received before; the rest of them was searched already.
    static constexpr std::size_t maximumEndBytes = 4;
    std::size_t searchFrom = m_partial.size() < maximumEndBytes ? 0 : m_partial.size() - maximumEndBytes;
    m_partial += bytes;
    std::size_t complete = 0;
    while (true) {
        auto const end = endOfFirstEvent(std::string_view(m_partial).substr(searchFrom));
        if (end == std::string_view::npos)
            break;
        auto const last = searchFrom + end;
        recordEvent(std::string_view(m_partial).substr(complete, last - complete));
        complete = searchFrom = last;
    }
    auto events = m_partial.substr(0, complete);
    m_partial.erase(0, complete);
    return events;
}

void EventSplitter::recordEvent(std::string_view event)
{
    ++m_eventCount;
    while (!event.empty()) {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        auto const [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc {})
            m_lastId = id;
    }
}

}
