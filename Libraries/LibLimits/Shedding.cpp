#include <LibLimits/Shedding.h>

#include <algorithm>
#include <cmath>

namespace Limits {

static constexpr double halfLifeSeconds = 5;

static double decayed(WorkByTeam::Row const& row, Core::MonotonicTime now)
{
    double const elapsed = std::chrono::duration<double>(now - row.updatedAt).count();
    return row.seconds * std::exp2(-std::max(elapsed, 0.0) / halfLifeSeconds);
}

void recordAdmittedWork(WorkByTeam& work, std::string_view team, double seconds, Core::MonotonicTime now)
{
    auto& row = work.rows[std::string(team)];
    row.seconds = decayed(row, now) + seconds;
    row.updatedAt = now;
}

TeamShare teamShare(WorkByTeam const& work, std::map<std::string, double, std::less<>> const& shares, std::string_view team, Core::MonotonicTime now)
{
    // A team without recent work does not reduce what the others are due.
    static constexpr double leastWorkSeconds = 0.01;
    double ownWork = 0;
    double totalWork = 0;
    double ownShare = 0;
    double totalShare = 0;
    for (auto const& [name, share] : shares) {
        auto const found = work.rows.find(name);
        double const seconds = found == work.rows.end() ? 0 : decayed(found->second, now);
        bool const isOwn = name == team;
        ownWork += isOwn ? seconds : 0;
        ownShare += isOwn ? share : 0;
        totalWork += seconds;
        totalShare += isOwn || seconds > leastWorkSeconds ? share : 0;
    }
    TeamShare view;
    view.workShare = totalWork > 0 ? ownWork / totalWork : 0;
    view.fairShare = totalShare > 0 ? ownShare / totalShare : 1;
    return view;
}

std::optional<std::chrono::milliseconds> decideShedding(TeamShare const& view, double relativeWork, double queueSeconds, double toleratedSeconds)
{
    // The least lets a team above its share in again before the queue is empty; the most bounds the wait of a small team.
    static constexpr double leastFactor = 0.25;
    static constexpr double mostFactor = 4;
    double const factor = view.workShare > 0 ? std::clamp(view.fairShare / view.workShare, leastFactor, mostFactor) : mostFactor;
    double const sizeFactor = std::clamp(1 / std::max(relativeWork, 1e-3), 1.0, mostFactor * mostFactor);
    double const excess = queueSeconds - factor * sizeFactor * toleratedSeconds;
    if (excess <= 0)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(excess));
}

}
