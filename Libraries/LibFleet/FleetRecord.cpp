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

std::string stringField(json::value const& object, std::string_view name)
{
    return std::string(std::string_view(object.at({ name.data(), name.size() }).as_string()));
}

template <typename Number>
Number numberField(json::value const& object, std::string_view name)
{
    return object.at({ name.data(), name.size() }).to_number<Number>();
}

Pool poolFromJson(json::value const& value)
{
    auto const purchase = value.at("reclaimable").as_bool() ? Purchase::Reclaimable : Purchase::OnDemand;
    return { stringField(value, "dataCentre"), stringField(value, "zone"), stringField(value, "machineClass"), purchase };
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
        { "askedAtMs", start.requestedAtMilliseconds },
        { "state", start.state == StartState::Granted ? "granted" : "asked" },
        { "hostId", start.hostId },
        { "listedBefore", std::move(before) },
    };
}

StartRecord startFromJson(json::value const& value)
{
    StartRecord start;
    start.token = stringField(value, "token");
    start.request = hostRequest(poolFromJson(value.at("pool")), stringField(value, "service"));
    start.requestedAtMilliseconds = numberField<std::int64_t>(value, "askedAtMs");
    start.state = stringField(value, "state") == "granted" ? StartState::Granted : StartState::Requested;
    start.hostId = stringField(value, "hostId");
    for (auto const& id : value.at("listedBefore").as_array())
        start.listedBefore.emplace_back(std::string_view(id.as_string()));
    return start;
}

template <typename Records, typename Encode>
json::array encodeArray(Records const& records, Encode encode)
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
    object["starts"] = encodeArray(record.starts, startJson);
    object["drains"] = encodeArray(record.drains, [](auto const& drain) {
        return json::object { { "hostId", drain.hostId }, { "incarnation", drain.incarnation }, { "sinceMs", drain.sinceMilliseconds }, { "reason", drain.reason } };
    });
    object["refusals"] = encodeArray(record.refusals, [](auto const& refusal) {
        return json::object { { "pool", poolJson(refusal.pool) }, { "lastAtMs", refusal.lastAtMilliseconds }, { "count", refusal.count } };
    });
    object["decisions"] = encodeArray(record.decisions, [](auto const& decision) {
        return json::object { { "atMs", decision.atMilliseconds }, { "epoch", decision.epoch }, { "subject", decision.subject }, { "text", decision.text } };
    });
    return json::serialize(object);
}

std::optional<FleetRecord> decodeFleetRecord(std::string_view text, Core::Error& error)
{
    try {
        auto const value = json::parse({ text.data(), text.size() });
        FleetRecord record;
        record.epoch = numberField<std::uint64_t>(value, "epoch");
        record.writeId = stringField(value, "writeId");
        for (auto const& start : value.at("starts").as_array())
            record.starts.push_back(startFromJson(start));
        for (auto const& drain : value.at("drains").as_array())
            record.drains.push_back({ stringField(drain, "hostId"), numberField<std::uint64_t>(drain, "incarnation"), numberField<std::int64_t>(drain, "sinceMs"), stringField(drain, "reason") });
        for (auto const& refusal : value.at("refusals").as_array())
            record.refusals.push_back({ poolFromJson(refusal.at("pool")), numberField<std::int64_t>(refusal, "lastAtMs"), numberField<std::uint32_t>(refusal, "count") });
        for (auto const& decision : value.at("decisions").as_array())
            record.decisions.push_back({ numberField<std::int64_t>(decision, "atMs"), numberField<std::uint64_t>(decision, "epoch"), stringField(decision, "subject"), stringField(decision, "text") });
        return record;
    } catch (std::exception const& exception) {
        return Core::fail(error, Core::ErrorKind::Internal, std::string("invalid fleet record: ") + exception.what());
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

void clearRefusals(FleetRecord& record, Pool const& pool)
{
    std::erase_if(record.refusals, [&](auto const& refusal) { return refusal.pool == pool; });
}

std::vector<FleetDecision> reconcile(FleetRecord& record, std::vector<Platform::Host> const& listed, std::int64_t nowMilliseconds, std::chrono::milliseconds startExpiry)
{
    std::vector<FleetDecision> decisions;
    auto const appendDecision = [&](std::string subject, std::string text) { decisions.push_back({ nowMilliseconds, record.epoch, std::move(subject), std::move(text) }); };
    std::set<std::string> claimedHostIds;
    for (auto const& start : record.starts) {
        if (!start.hostId.empty())
            claimedHostIds.insert(start.hostId);
    }
    std::erase_if(record.starts, [&](StartRecord const& start) {
        auto const isHostOfStart = [&](Platform::Host const& host) {
            if (!start.hostId.empty())
                return host.id == start.hostId;
            return host.service == start.request.service && poolOf(host) == poolOf(start.request) && !claimedHostIds.contains(host.id)
                && std::find(start.listedBefore.begin(), start.listedBefore.end(), host.id) == start.listedBefore.end();
        };
        auto const host = std::find_if(listed.begin(), listed.end(), isHostOfStart);
        if (host != listed.end()) {
            claimedHostIds.insert(host->id);
            appendDecision(host->id, "is listed; requested as " + start.token);
            return true;
        }
        if (nowMilliseconds - start.requestedAtMilliseconds < startExpiry.count())
            return false;
        appendDecision(start.hostId.empty() ? start.token : start.hostId, "was not listed within " + std::to_string(startExpiry.count() / 1000) + " s after the request; the start is abandoned");
        return true;
    });
    std::erase_if(record.drains, [&](DrainRecord const& drain) {
        bool const isListed = std::any_of(listed.begin(), listed.end(), [&](auto const& host) { return host.id == drain.hostId && host.incarnation == drain.incarnation; });
        if (!isListed)
            appendDecision(drain.hostId, "is no longer listed");
        return !isListed;
    });
    std::erase_if(record.refusals, [&](auto const& refusal) { return nowMilliseconds - refusal.lastAtMilliseconds > refusalExpiryMilliseconds; });
    for (auto const& decision : decisions)
        addDecision(record, decision);
    return decisions;
}

}
