#include <LibConfiguration/Apply.h>

#include <LibConfiguration/Codec.h>
#include <LibConfiguration/Decoder.h>
#include <LibConfiguration/Diff.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstdio>

namespace Configuration {

namespace {

// The largest length of one difference line in bytes; the schema's limit for a line of an audit entry.
constexpr std::size_t maximumLineBytes = 512;

std::vector<std::string> truncateLines(std::vector<std::string> lines)
{
    if (lines.size() > maximumChangeLines) {
        auto const dropped = lines.size() - maximumChangeLines;
        lines.resize(maximumChangeLines);
        lines.push_back("and " + std::to_string(dropped) + " more differences");
    }
    for (auto& line : lines)
        line = truncateText(std::move(line), maximumLineBytes);
    return lines;
}

/// Removes the oldest entries until the list is within its limits, and returns them.
std::vector<AuditEntry> removeOldEntries(std::vector<AuditEntry>& entries)
{
    std::size_t count = entries.size() > maximumAuditEntries ? auditEntriesPerArchive : 0;
    std::size_t bytes = 0;
    for (std::size_t index = entries.size(); index-- > count;) {
        bytes += boost::json::serialize(toJson(entries[index])).size() + 1;
        // The newest entry is always kept, because a retried apply is recognised by it.
        if (bytes > maximumAuditBytes && index + 1 < entries.size()) {
            count = index + 1;
            break;
        }
    }
    auto const end = entries.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<AuditEntry> removed(entries.begin(), end);
    entries.erase(entries.begin(), end);
    return removed;
}

ApplyDecision conflict(AppliedState const& current, ApplyRequest const& request)
{
    ApplyDecision decision { ApplyOutcome::Conflict, current, current.generation, {}, {}, {} };
    std::copy_if(current.audit.begin(), current.audit.end(), std::back_inserter(decision.entriesSince), [&](auto const& entry) { return entry.generation > request.basedOnGeneration; });
    decision.message = "the apply was based on generation " + std::to_string(request.basedOnGeneration) + ", but the current one is " + std::to_string(current.generation);
    if (!decision.entriesSince.empty())
        decision.message += ", last changed by " + decision.entriesSince.back().appliedBy;
    return decision;
}

}

ApplyDecision decideApply(AppliedState const& current, ApplyRequest const& request, std::int64_t nowMilliseconds)
{
    auto const earlier = std::find_if(current.audit.begin(), current.audit.end(), [&](auto const& entry) { return entry.applyId == request.applyId; });
    if (earlier != current.audit.end())
        return { ApplyOutcome::AlreadyAccepted, current, earlier->generation, {}, {}, "this apply took effect as generation " + std::to_string(earlier->generation) };
    if (request.basedOnGeneration != current.generation)
        return conflict(current, request);

    auto changes = diff(current.desired, request.desired);
    if (changes.empty() && current.generation > 0)
        return { ApplyOutcome::Unchanged, current, current.generation, {}, {}, "the desired state equals the current one" };

    ApplyDecision decision;
    decision.outcome = ApplyOutcome::Accepted;
    decision.generation = current.generation + 1;
    decision.state = { decision.generation, request.desired, current.audit };
    decision.state.audit.push_back({ decision.generation, nowMilliseconds, request.appliedBy, request.applyId, request.comment, truncateLines(std::move(changes)) });
    decision.entriesToArchive = removeOldEntries(decision.state.audit);
    decision.message = "generation " + std::to_string(decision.generation);
    return decision;
}

std::string archiveName(std::vector<AuditEntry> const& entries)
{
    char name[64];
    std::snprintf(name, sizeof(name), "%012llu-%012llu", static_cast<unsigned long long>(entries.front().generation), static_cast<unsigned long long>(entries.back().generation));
    return name;
}

}
