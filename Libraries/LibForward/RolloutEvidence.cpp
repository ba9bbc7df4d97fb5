#include <LibForward/PeerTable.h>

#include <algorithm>

namespace Forward {

static Rollout::Evidence const* evidenceIn(NodeReport const& report, Rollout::OrderId const& order)
{
    auto const found = std::find_if(report.rollouts.begin(), report.rollouts.end(), [&](auto const& rollout) { return rollout.order.id == order; });
    return found == report.rollouts.end() ? nullptr : &found->evidence;
}

Rollout::Evidence summedEvidence(PeerTable const& table, Rollout::OrderId const& order, Rollout::Evidence own)
{
    auto sum = std::move(own);
    auto const* reportedOwn = evidenceIn(table.own, order);
    for (auto const* row : coveringRows(table)) {
        auto const* evidence = evidenceIn(row->report, order);
        if (evidence && containsOwn(*row) && reportedOwn)
            Rollout::mergeEvidence(sum, Rollout::evidenceSince(*evidence, *reportedOwn));
        else if (evidence)
            Rollout::mergeEvidence(sum, *evidence);
    }
    return sum;
}

}
