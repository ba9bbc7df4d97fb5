#include <LibMembership/PlatformData.h>

#include <algorithm>
#include <xxhash.h>

namespace Membership {

// Twice the number of servers at the design size.
static constexpr std::size_t maximumRemovedRows = 1400;
static constexpr std::int64_t noticeRetentionMilliseconds = 60'000;

static std::uint64_t hashEntry(Peer::ServerEntry const& entry)
{
    std::string text;
    for (auto const* field : { &entry.id, &entry.endpoint, &entry.service, &entry.version, &entry.dataCentre, &entry.zone })
        text.append(*field).push_back('\0');
    text += std::to_string(entry.incarnation) + (entry.leaving ? "l" : "");
    return XXH3_64bits(text.data(), text.size());
}

static bool putRow(PlatformData& data, Peer::ServerEntry const& entry, std::uint64_t version)
{
    auto [found, isNew] = data.rows.try_emplace(entry.id);
    auto& row = found->second;
    if (!isNew && !row.removed) {
        if (row.entry == entry)
            return false;
        data.contentHash ^= hashEntry(row.entry);
    }
    row = { entry, version, false };
    data.contentHash ^= hashEntry(entry);
    return true;
}

static bool removeRow(PlatformData& data, std::string const& id, std::uint64_t version)
{
    auto const found = data.rows.find(id);
    if (found == data.rows.end() || found->second.removed)
        return false;
    data.contentHash ^= hashEntry(found->second.entry);
    found->second.removed = true;
    found->second.changedVersion = version;
    return true;
}

static void pruneRemovedRows(PlatformData& data)
{
    std::vector<std::uint64_t> versions;
    for (auto const& [id, row] : data.rows) {
        if (row.removed)
            versions.push_back(row.changedVersion);
    }
    if (versions.size() <= maximumRemovedRows)
        return;
    std::sort(versions.begin(), versions.end());
    data.prunedVersion = versions[versions.size() - maximumRemovedRows / 2];
    std::erase_if(data.rows, [&](auto const& entry) { return entry.second.removed && entry.second.changedVersion <= data.prunedVersion; });
}

bool applyServerList(PlatformData& data, std::vector<Peer::ServerEntry> const& servers, Core::MonotonicTime readAt)
{
    if (data.readAt && readAt <= *data.readAt)
        return false;
    data.readAt = readAt;
    auto const version = data.version + 1;
    bool changed = false;
    std::set<std::string_view> listed;
    for (auto const& server : servers) {
        listed.insert(server.id);
        changed = putRow(data, server, version) || changed;
    }
    for (auto const& [id, row] : data.rows) {
        if (!listed.contains(id))
            changed = removeRow(data, id, version) || changed;
    }
    if (changed)
        data.version = version;
    pruneRemovedRows(data);
    return true;
}

std::vector<Peer::ReclaimNotice> addNotices(PlatformData& data, std::vector<Peer::ReclaimNotice> const& notices, std::uint64_t sequence)
{
    std::vector<Peer::ReclaimNotice> added;
    for (auto const& notice : notices) {
        if (notice.sequence > data.noticeSequence && data.notices.emplace(notice.sequence, notice).second)
            added.push_back(notice);
    }
    data.noticeSequence = std::max(data.noticeSequence, sequence);
    return added;
}

void expireNotices(PlatformData& data, std::int64_t wallMilliseconds)
{
    std::erase_if(data.notices, [&](auto const& entry) { return entry.second.reclaimAtMilliseconds + noticeRetentionMilliseconds < wallMilliseconds; });
}

std::vector<Peer::ServerEntry> listedServers(PlatformData const& data)
{
    std::vector<Peer::ServerEntry> servers;
    for (auto const& [id, row] : data.rows) {
        if (!row.removed)
            servers.push_back(row.entry);
    }
    return servers;
}

bool hasUpdateFor(PlatformData const& data, Peer::FetchPlatformDataRequest const& request)
{
    if (data.noticeSequence > request.noticeSequence)
        return true;
    return data.readAt && (request.epoch != data.epoch || request.version < data.version);
}

Peer::FetchPlatformDataRequest createFetchRequest(PlatformData const& data, PlatformDataCursor const& cursor)
{
    Peer::FetchPlatformDataRequest request;
    request.epoch = cursor.epoch;
    request.version = cursor.version;
    request.contentHash = data.contentHash;
    request.noticeSequence = data.noticeSequence;
    return request;
}

Peer::FetchPlatformDataReply createFetchReply(PlatformData const& data, Peer::FetchPlatformDataRequest const& request, Core::MonotonicTime now)
{
    Peer::FetchPlatformDataReply reply;
    reply.epoch = data.epoch;
    reply.version = data.version;
    reply.contentHash = data.contentHash;
    reply.noticeSequence = data.noticeSequence;
    for (auto notice = data.notices.upper_bound(request.noticeSequence); notice != data.notices.end(); ++notice)
        reply.notices.push_back(notice->second);
    if (!data.readAt)
        return reply;
    reply.hasList = true;
    reply.ageMilliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - *data.readAt).count());
    if (request.contentHash == data.contentHash)
        return reply;
    reply.complete = request.epoch != data.epoch || request.version < data.prunedVersion;
    for (auto const& [id, row] : data.rows) {
        if (!reply.complete && row.changedVersion <= request.version)
            continue;
        if (!row.removed)
            reply.servers.push_back(row.entry);
        else if (!reply.complete)
            reply.removedIds.push_back(id);
    }
    return reply;
}

PlatformDataUpdate mergeReply(PlatformData& data, PlatformDataCursor& cursor, Peer::FetchPlatformDataReply const& reply, Core::MonotonicTime now)
{
    PlatformDataUpdate update;
    update.notices = addNotices(data, reply.notices, reply.noticeSequence);
    if (!reply.hasList)
        return update;
    cursor = { reply.epoch, reply.version };
    auto const readAt = now - std::chrono::milliseconds(reply.ageMilliseconds);
    // A list that is not newer is ignored. If it differs, all rows are requested again, because the peer's next list may be
    // newer without being a change for the peer.
    if (data.readAt && readAt <= *data.readAt) {
        if (data.contentHash != reply.contentHash)
            cursor = {};
        return update;
    }
    update.listApplied = true;
    if (reply.complete) {
        applyServerList(data, reply.servers, readAt);
    } else {
        auto const version = data.version + 1;
        bool changed = false;
        for (auto const& server : reply.servers)
            changed = putRow(data, server, version) || changed;
        for (auto const& id : reply.removedIds)
            changed = removeRow(data, id, version) || changed;
        if (changed)
            data.version = version;
        data.readAt = readAt;
        pruneRemovedRows(data);
    }
    if (data.contentHash != reply.contentHash)
        cursor = {};
    return update;
}

std::vector<PlatformDataSource> choosePlatformDataSources(RelayRole role, std::optional<Core::Duration> listAge, Core::Duration staleAfter)
{
    using enum PlatformDataSource;
    if (role == RelayRole::Relay)
        return { Platform, LocalRelays, RemoteRelay };
    if (!listAge || *listAge > staleAfter)
        return { LocalRelays, Platform };
    return { LocalRelays };
}

std::string nextDataCentre(std::set<std::string> const& dataCentres, std::string const& own)
{
    auto next = dataCentres.upper_bound(own);
    if (next == dataCentres.end())
        next = dataCentres.begin();
    return next == dataCentres.end() || *next == own ? std::string() : *next;
}

Core::Duration hostListPollInterval(std::size_t listBytes, std::size_t bytesPerSecond, Core::Duration minimum)
{
    auto const seconds = static_cast<double>(listBytes) / static_cast<double>(bytesPerSecond);
    return std::max(minimum, std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(seconds)));
}

}
