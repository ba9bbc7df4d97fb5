#include <LibHTTP/ServerSentEvents.h>

namespace HTTP {

std::string formatEvent(ServerSentEvent const& event)
{
    std::string text;
    if (!event.id.empty())
        text += "id: " + event.id + "\n";
    std::string_view rest = event.data;
    while (true) {
        auto const end = rest.find('\n');
        text += "data: ";
        text += rest.substr(0, end);
        text += '\n';
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    text += '\n';
    return text;
}

std::vector<ServerSentEvent> ServerSentEventParser::feed(std::string_view bytes)
{
    std::vector<ServerSentEvent> events;
    while (!bytes.empty()) {
        auto const end = bytes.find('\n');
        m_partialLine += bytes.substr(0, end);
        if (end == std::string_view::npos)
            break;
        bytes.remove_prefix(end + 1);
        if (m_partialLine.ends_with('\r'))
            m_partialLine.pop_back();
        consumeLine(m_partialLine, events);
        m_partialLine.clear();
    }
    return events;
}

void ServerSentEventParser::consumeLine(std::string_view line, std::vector<ServerSentEvent>& events)
{
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_hasData = false;
        return;
    }
    auto const colon = line.find(':');
    auto const field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    } else if (field == "id") {
        m_event.id = value;
    }
}

}
