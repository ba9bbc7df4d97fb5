#include <LibFleet/FleetRecord.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace Fleet {

namespace json = boost::json;

static constexpr std::int64_t refusalExpiryMilliseconds = 3'600'000;

namespace {

json::object poolJson(Pool const& pool)
{
    return { { "dataCentre", pool.dataCentre }, { "zone", pool.zone }, { "machineClass", pool.machineClass }, { "reclaimable", pool.purchase == Purchase::Reclaimable } };
}

std::string textOf(json::value const& object, std::string_view name)
{
    return std::string(std::string_view(object.at({ name.data(), name.size() }).as_string()));
}

template <typename Number>
Number numberOf(json::value const& object, std::string_view name)
{
    return object.at({ name.data(), name.size() }).to_number<Number>();
}

Pool poolFromJson(json::value const& value)
{
    auto const purchase = value.at("reclaimable").as_bool() ? Purchase::Reclaimable : Purchase::OnDemand;
    return { textOf(value, "dataCentre"), textOf(value, "zone"), textOf(value, "machineClass"), purchase };
}

json::object startJson(StartRecord const& start)
{
    json::array before;
    for (auto const& id : start.listedBefore)
        before.emplace_back(id);
    return {
        { "token", start.token },
        { "service", start.request.service },
        { "pool", poolJson(poolOf(start.request)) },
        { "askedAtMs", start.askedAtMilliseconds },
        { "state", start.state == StartState::Granted ? "granted" : "asked" },
        { "hostId", start.hostId },
        { "listedBefore", std::move(before) },
    };
}

StartRecord startFromJson(json::value const& value)
{
    StartRecord start;
    start.token = textOf(value, "token");
    start.request = hostRequest(poolFromJson(value.at("pool")), textOf(value, "service"));
    start.askedAtMilliseconds = numberOf<std::int64_t>(value, "askedAtMs");
    start.state = textOf(value, "state") == "granted" ? StartState::Granted : StartState::Asked;
    start.hostId = textOf(value, "hostId");
    for (auto const& id : value.at("listedBefore").as_array())
        start.listedBefore.emplace_back(std::string_view(id.as_string()));
    return start;
}

template <typename Records, typename Encode>
json::array arrayOf(Records const& records, Encode encode)
{
    json::array array;
    for (auto const& record : records)
        array.push_back(encode(record));
    return array;
}

}

std::string encodeFleetRecord(FleetRecord const& record)
{
    json::object object;
    object["epoch"] = record.epoch;
    object["writeId"] = record.writeId;
    object["starts"] = arrayOf(record.starts, startJson);
    object["drains"] = arrayOf(record.drains, [](auto const& drain) {
        return json::object { { "hostId", drain.hostId }, { "incarnation", drain.incarnation }, { "sinceMs", drain.sinceMilliseconds }, { "reason", drain.reason } };
    });
    object["refusals"] = arrayOf(record.refusals, [](auto const& refusal) {
        return json::object { { "pool", poolJson(refusal.pool) }, { "lastAtMs", refusal.lastAtMilliseconds }, { "count", refusal.count } };
    });
    object["decisions"] = arrayOf(record.decisions, [](auto const& decision) {
        return json::object { { "atMs", decision.atMilliseconds }, { "epoch", decision.epoch }, { "subject", decision.subject }, { "text", decision.text } };
    });
    return json::serialize(object);
}

std::optional<FleetRecord> decodeFleetRecord(std::string_view text, Core::Error& reason)
{
    try {
        auto const value = json::parse({ text.data(), text.size() });
        FleetRecord record;
        record.epoch = numberOf<std::uint64_t>(value, "epoch");
        record.writeId = textOf(value, "writeId");
        for (auto const& start : value.at("starts").as_array())
            record.starts.push_back(startFromJson(start));
        for (auto const& drain : value.at("drains").as_array())
            record.drains.push_back({ textOf(drain, "hostId"), numberOf<std::uint64_t>(drain, "incarnation"), numberOf<std::int64_t>(drain, "sinceMs"), textOf(drain, "reason") });
        for (auto const& refusal : value.at("refusals").as_array())
            record.refusals.push_back({ poolFromJson(refusal.at("pool")), numberOf<std::int64_t>(refusal, "lastAtMs"), numberOf<std::uint32_t>(refusal, "count") });
        for (auto const& decision : value.at("decisions").as_array())
            record.decisions.push_back({ numberOf<std::int64_t>(decision, "atMs"), numberOf<std::uint64_t>(decision, "epoch"), textOf(decision, "subject"), textOf(decision, "text") });
        return record;
    } catch (std::exception const& error) {
        return Core::fail(reason, Core::ErrorKind::Internal, std::string("the fleet record cannot be read: ") + error.what());
    }
}

void addDecision(FleetRecord& record, FleetDecision decision)
{
    record.decisions.push_back(std::move(decision));
    if (record.decisions.size() > maximumDecisions)
        record.decisions.erase(record.decisions.begin());
}

void recordRefusal(FleetRecord& record, Pool const& pool, std::int64_t atMilliseconds)
{
    auto found = std::find_if(record.refusals.begin(), record.refusals.end(), [&](auto const& refusal) { return refusal.pool == pool; });
    if (found == record.refusals.end())
        found = record.refusals.insert(found, { pool, 0, 0 });
    found->lastAtMilliseconds = atMilliseconds;
    ++found->count;
}

void recordGrant(FleetRecord& record, Pool const& pool)
{
    std::erase_if(record.refusals, [&](auto const& refusal) { return refusal.pool == pool; });
}

std::vector<FleetDecision> reconcile(FleetRecord& record, std::vector<Platform::Host> const& listed, std::int64_t nowMilliseconds, std::chrono::milliseconds startExpiry)
{
    std::vector<FleetDecision> decisions;
    auto const decide = [&](std::string subject, std::string text) { decisions.push_back({ nowMilliseconds, record.epoch, std::move(subject), std::move(text) }); };
    std::set<std::string> taken;
    for (auto const& start : record.starts) {
        if (!start.hostId.empty())
            taken.insert(start.hostId);
    }
    std::erase_if(record.starts, [&](StartRecord const& start) {
        auto const isItsHost = [&](Platform::Host const& host) {
            if (!start.hostId.empty())
                return host.id == start.hostId;
            return host.service == start.request.service && poolOf(host) == poolOf(start.request) && !taken.contains(host.id)
                && std::find(start.listedBefore.begin(), start.listedBefore.end(), host.id) == start.listedBefore.end();
        };
        auto const host = std::find_if(listed.begin(), listed.end(), isItsHost);
        if (host != listed.end()) {
            taken.insert(host->id);
            decide(host->id, "is listed; it was asked for as " + start.token);
            return true;
        }
        if (nowMilliseconds - start.askedAtMilliseconds < startExpiry.count())
            return false;
        decide(start.hostId.empty() ? start.token : start.hostId, "was not listed within " + std::to_string(startExpiry.count() / 1000) + " s after it was asked for, and is given up");
        return true;
    });
    std::erase_if(record.drains, [&](DrainRecord const& drain) {
        bool const isListed = std::any_of(listed.begin(), listed.end(), [&](auto const& host) { return host.id == drain.hostId && host.incarnation == drain.incarnation; });
        if (!isListed)
            decide(drain.hostId, "is no longer listed");
        return !isListed;
    });
    std::erase_if(record.refusals, [&](auto const& refusal) { return nowMilliseconds - refusal.lastAtMilliseconds > refusalExpiryMilliseconds; });
    for (auto const& decision : decisions)
        addDecision(record, decision);
    return decisions;
}

}
