#include <LibRollout/StoredOrder.h>

#include <algorithm>

namespace Rollout {

static bool isRejectedVersion(Order const& order, std::string const& version)
{
    return std::find(order.rejectedVersions.begin(), order.rejectedVersions.end(), version) != order.rejectedVersions.end();
}

Order adoptOrder(RolloutTable const& table, StoredOrder const& stored, OrderContext const& context)
{
    auto const row = table.rows.find(stored.id.service);
    auto const* known = row == table.rows.end() ? nullptr : &row->second.order;
    Order order { .id = stored.id, .startedAt = context.unixMilliseconds, .revision = stored.revision, .reason = {}, .rejectedVersions = {} };
    if (stored.status) {
        order.rejectedVersions = stored.status->rejectedVersions;
        if (stored.status->id == stored.id) {
            order.state = stored.status->state;
            order.startedAt = stored.status->startedAt;
            order.reason = stored.status->reason;
            return order;
        }
        if (stored.status->state != State::Completed && stored.status->id.to != stored.id.to)
            order.rejectedVersions.push_back(stored.status->id.to);
    }
    if (known && known->id == stored.id) {
        auto kept = *known;
        kept.revision = std::max(known->revision, stored.revision);
        return kept;
    }
    bool const isRestored = known && stored.revision.era > known->revision.era;
    if (isRestored && isRejectedVersion(*known, stored.id.to)) {
        order.isFoundBad = true;
        order.reason = "the version was rolled back before the store was restored";
    } else if (context.isServedAlready) {
        order.state = State::Completing;
        order.reason = "all servers run the version";
    } else if (!stored.fault.empty()) {
        order.isFoundBad = true;
        order.reason = stored.fault;
    }
    return order;
}

bool needsStatusWrite(Order const& known, StoredOrder const& stored)
{
    if (known.id != stored.id)
        return false;
    if (!stored.status || stored.status->id != stored.id)
        return true;
    return isFinal(known.state) && known.state != stored.status->state;
}

}
