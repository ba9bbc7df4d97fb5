#include <Node/DecisionLog.h>

namespace Node {

static constexpr std::size_t maximumLines = 64;

DecisionLog::DecisionLog(std::size_t maximumSubjects)
    : m_maximumSubjects(maximumSubjects)
{
}

void DecisionLog::add(std::string const& subject, std::string line)
{
    auto const [entry, added] = m_lines.try_emplace(subject);
    if (entry->second.size() < maximumLines)
        entry->second.push_back(std::move(line));
    if (!added)
        return;
    m_order.push_back(subject);
    if (m_order.size() <= m_maximumSubjects)
        return;
    m_lines.erase(m_order.front());
    m_order.pop_front();
}

std::vector<std::string> DecisionLog::linesFor(std::string_view subject) const
{
    auto const found = m_lines.find(subject);
    return found == m_lines.end() ? std::vector<std::string> {} : found->second;
}

}
