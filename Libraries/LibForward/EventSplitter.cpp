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
        m_isOutOfOrder = !recordEvent(std::string_view(m_partial).substr(complete, last - complete));
        if (m_isOutOfOrder)
            break;
        complete = searchFrom = last;
    }
    auto events = m_partial.substr(0, complete);
    m_partial.erase(0, complete);
    return events;
}

static std::optional<std::uint64_t> parseId(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    std::uint64_t id = 0;
    auto const [last, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    if (error != std::errc {} || last != text.data() + text.size())
        return std::nullopt;
    return id;
}

// Returns false for an event that cannot follow those before it.
bool EventSplitter::recordEvent(std::string_view event)
{
    static constexpr std::string_view idField = "id:";
    bool isComment = true;
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        isComment = isComment && (line.empty() || line.starts_with(':'));
        if (line.starts_with(idField))
            id = parseId(line.substr(idField.size()));
    }
    if (isComment)
        return true;
    if (!id || (m_lastId && *id <= *m_lastId))
        return false;
    m_lastId = id;
    ++m_eventCount;
    return true;
}

}
