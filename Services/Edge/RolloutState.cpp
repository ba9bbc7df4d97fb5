#include <Edge/RolloutState.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Edge {

namespace json = boost::json;

bool applyOrder(EdgeTables& tables, Rollout::Order const& order, std::string_view source, Core::MonotonicTime now)
{
    auto const found = tables.rollouts.rows.find(order.id.service);
    auto const before = found == tables.rollouts.rows.end() ? std::optional<Rollout::Order>() : std::optional(found->second.order);
    if (!Rollout::mergeState(tables.rollouts, order))
        return false;
    auto& row = tables.rollouts.rows.at(order.id.service);
    auto const& known = row.order;
    bool const isNew = !before || before->id != known.id;
    bool const isVerdict = !isNew && (before->state != known.state || before->isFoundBad != known.isFoundBad);
    if (isNew || isVerdict)
        row.changedAt = now;
    std::vector<Core::LogField> fields {
        { "service", known.id.service },
        { "to", known.id.to },
        { "period_ms", std::int64_t(known.id.period.count()) },
        { "state", Rollout::stateName(known.state) },
        { "found_bad", known.isFoundBad ? "yes" : "no" },
        { "revision", known.revision.toString() },
        { "source", source },
    };
    if (!known.reason.empty())
        fields.emplace_back("reason", known.reason);
    if (isNew)
        Core::logEvent(Core::LogLevel::Info, "rollout_ordered", fields);
    if (isVerdict) {
        if (!row.snapshots.empty())
            fields.emplace_back("evidence", Rollout::describeEvidence(row.snapshots.back().evidence));
        Core::logEvent(known.isFoundBad ? Core::LogLevel::Warning : Core::LogLevel::Info, "rollout_verdict", fields);
    }
    return true;
}

void mergeRollouts(EdgeTables& tables, Forward::NodeReport const& report, Core::MonotonicTime now)
{
    for (auto const& rollout : report.rollouts)
        (void)applyOrder(tables, rollout.order, report.node, now);
    tables.rollouts.ordersRevision = std::max(tables.rollouts.ordersRevision, report.rolloutsRevision);
}

void reportRollouts(EdgeTables const& tables, Forward::NodeReport& report)
{
    for (auto const& [service, row] : tables.rollouts.rows)
        report.rollouts.push_back({ row.order, row.own });
    report.rolloutsRevision = tables.rollouts.ordersRevision;
}

std::string describeRollouts(EdgeTables const& tables, Core::MonotonicTime now)
{
    json::array orders;
    for (auto const& [service, row] : tables.rollouts.rows) {
        auto const& order = row.order;
        json::array evidence;
        for (auto const& [key, counts] : Forward::summedEvidence(tables.peers, order.id, row.own)) {
            evidence.push_back(json::object {
                { "group", key.first == Rollout::Group::Candidate ? "candidate" : "incumbent" },
                { "route", key.second },
                { "responses", counts.responses },
                { "failures", counts.failures },
                { "broken", counts.broken },
            });
        }
        json::array rejected;
        for (auto const& version : order.rejectedVersions)
            rejected.emplace_back(version);
        json::object description {
            { "service", service },
            { "to", order.id.to },
            { "periodMilliseconds", order.id.period.count() },
            { "state", Rollout::stateName(order.state) },
            { "foundBad", order.isFoundBad },
            { "reason", order.reason },
            { "startedAtUnixMilliseconds", order.startedAt },
            { "revision", order.revision.toString() },
            { "rejectedVersions", std::move(rejected) },
            { "evidence", std::move(evidence) },
        };
        if (row.observedSince)
            description["observedMilliseconds"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - *row.observedSince).count();
        orders.push_back(std::move(description));
    }
    return json::serialize(json::object { { "ordersRevision", tables.rollouts.ordersRevision.toString() }, { "rollouts", std::move(orders) } });
}

}
