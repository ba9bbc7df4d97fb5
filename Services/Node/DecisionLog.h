#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Node {

/// Keeps the decisions on the most recent requests and hosts for `explain`. Bounded; evicts the oldest subjects first.
/// Not thread safe.
class DecisionLog {
public:
    /// Keeps up to maximumSubjects subjects with up to 64 lines each.
    explicit DecisionLog(std::size_t maximumSubjects);

    void add(std::string const& subject, std::string line);

    /// Returns the lines in the order in which they were added; empty if the subject is unknown.
    [[nodiscard]] std::vector<std::string> linesFor(std::string_view subject) const;

private:
    std::size_t m_maximumSubjects;
    std::map<std::string, std::vector<std::string>, std::less<>> m_lines;
    std::deque<std::string> m_order;
};

}
