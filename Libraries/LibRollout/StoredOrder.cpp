#include <LibRollout/StoredOrder.h>

#include <algorithm>

namespace Rollout {

static bool isRejectedVersion(Order const& order, std::string const& version)
{
    return std::find(order.rejectedVersions.begin(), order.rejectedVersions.end(), version) != order.rejectedVersions.end();
}

static bool isServedAlready(Routing::ServerTable const& servers, Order const& order)
{
    bool hasServer = false;
    for (auto const& row : servers.rows) {
        if (row.service != order.id.service || row.lifecycle != Routing::Lifecycle::Live || isRejectedVersion(order, row.version))
            continue;
        if (row.version != order.id.to)
            return false;
        hasServer = true;
    }
    return hasServer;
}

Order adoptOrder(RolloutTable const& table, StoredOrder const& stored, Routing::ServerTable const& servers, std::int64_t unixMilliseconds)
{
    auto const row = table.rows.find(stored.id.service);
    auto const* known = row == table.rows.end() ? nullptr : &row->second.order;
    Order order { .id = stored.id, .startedAt = unixMilliseconds, .revision = stored.revision, .reason = {}, .rejectedVersions = {} };
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
    if (known)
        order = succeedOrder(*known, std::move(order));
    bool const isRestored = known && stored.revision.era > known->revision.era;
    if (isRestored && isRejectedVersion(*known, stored.id.to)) {
        order.isFoundBad = true;
        order.reason = "the version was rolled back before the store was restored";
    } else if (isServedAlready(servers, order)) {
        order.state = State::Completing;
        order.reason = "all servers run the version";
    } else if (!stored.fault.empty()) {
        order.isFoundBad = true;
        order.reason = stored.fault;
    }
    return order;
}

bool mayTakeEffect(RolloutTable const& table, StoredOrder const& stored, std::string const& objectName)
{
    if (stored.fault.empty())
        return true;
    auto const version = table.versions.find({ stored.id.service, stored.id.to });
    return objectName == stored.id.service && (version == table.versions.end() || version->second > stored.revision);
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
