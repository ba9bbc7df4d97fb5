#pragma once

#include <LibRouting/Placement.h>
#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Requests of one kind: prompts of two shared parts, the first of which several prompts have in common, and an own part.
struct RequestKindModel {
    double perSecond { 0 };
    std::uint32_t sharedTokens { 0 };
    std::uint32_t ownTokens { 0 };
    double generationSeconds { 0 };
    std::uint32_t prompts { 600 };
    /// The fraction of the requests that have prompt 0.
    double hotFraction { 0 };
};

struct ReplayOptions {
    bool isAdaptive { false };
    std::size_t nodes { 76 };
    std::size_t servers { 60 };
    double tokensPerSecond { 37'900 };
    double cacheTokens { 497'529 };
    double seconds { 25 };
    /// Requests that arrive before are not counted.
    double warmUpSeconds { 10 };
    std::vector<RequestKindModel> kinds;
    /// How many times slower than usual a server is.
    std::function<double(std::size_t server, double time)> slowness { [](std::size_t, double) { return 1.0; } };
    bool statesSlowness { true };
    /// Every second server is lost at 12 s, and starts again at 20 s with an empty cache.
    bool losesServers { false };
    /// The node at which a request arrives, if not a random one.
    std::function<std::size_t(Core::Random&, double time)> node;
};

struct ReplayResult {
    double meanDelay { 0 };
    double delay95 { 0 };
    /// Tokens of shared parts that had been read by some server before.
    double tokensReadAgain { 0 };
    double largestServerShare { 0 };
    double slowServersShare { 0 };
    /// Distinct servers that got prompt 0.
    std::size_t homesOfHotPrompt { 0 };
    double learntTokensPerSecond { 0 };
};

/// Replays a load on nodes that place by each other's reports, sent four times a second, and servers that read one prompt after the other
/// and cache the parts, least recently used first out. Deterministic.
class PlacementReplay {
public:
    PlacementReplay(ReplayOptions options, std::uint64_t seed)
        : m_options(std::move(options))
        , m_random(seed)
        , m_nodes(m_options.nodes)
        , m_engines(m_options.servers)
    {
        Routing::ServerTable table;
        for (std::size_t i = 0; i < m_options.servers; ++i) {
            Routing::ServerRow row;
            row.id = "s" + std::to_string(i);
            row.service = "model";
            row.dataCentre = dataCentreOf(i);
            row.slots = 64;
            table.rows.push_back(row);
        }
        for (auto& node : m_nodes)
            node.servers = table;
        m_costs.unreportedRequests = 0.25 * static_cast<double>(m_options.nodes - 1);
    }

    ReplayResult run()
    {
        double total = 0;
        for (auto const& kind : m_options.kinds)
            total += kind.perSecond;
        double nextReport = 0;
        double time = 0;
        while ((time += 2 * m_random.unit() / total) < m_options.seconds) {
            for (; nextReport <= time; nextReport += 0.25) {
                finishUntil(nextReport);
                loseOrStartServers(nextReport);
                report();
            }
            finishUntil(time);
            auto kind = m_options.kinds.begin();
            for (double remaining = m_random.unit() * total; remaining >= kind->perSecond && kind + 1 != m_options.kinds.end(); ++kind)
                remaining -= kind->perSecond;
            arrive(time, *kind, static_cast<std::uint64_t>(kind - m_options.kinds.begin()));
        }
        return result();
    }

private:
    struct Node {
        Routing::ServerTable servers;
        Routing::EngineSpeedTable speeds;
        Routing::PrefixResidency residency;
    };
    struct Engine {
        double busyUntil { 0 };
        std::list<std::pair<std::uint64_t, std::uint32_t>> recentlyUsed;
        std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::uint32_t>>::iterator> cached;
        double cachedTokens { 0 };
    };

    static std::string dataCentreOf(std::size_t index) { return std::string(1, static_cast<char>('a' + index % 4)); }
    static Core::MonotonicTime at(double time) { return Core::MonotonicTime { std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(100 + time)) }; }
    Routing::CacheConditions conditions() const { return { static_cast<std::uint64_t>(m_options.cacheTokens), m_options.nodes, m_options.servers }; }

    void finishUntil(double time)
    {
        while (!m_events.empty() && m_events.begin()->first <= time) {
            auto const run = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            run();
        }
    }

    void loseOrStartServers(double time)
    {
        bool const areLost = m_options.losesServers && time >= 12 && time < 20;
        if (areLost == m_areLost)
            return;
        m_areLost = areLost;
        for (std::size_t server = 1; server < m_engines.size(); server += 2) {
            m_engines[server] = {};
            for (auto& node : m_nodes) {
                auto& row = node.servers.rows[server];
                row.lifecycle = areLost ? Routing::Lifecycle::Leaving : Routing::Lifecycle::Live;
                row.incarnation = areLost ? 0 : 1;
                row.firstListedAt = areLost ? Core::MonotonicTime {} : at(time);
            }
        }
    }

    void report()
    {
        for (std::size_t server = 0; server < m_engines.size(); ++server) {
            std::uint32_t all = 0;
            for (auto const& node : m_nodes)
                all += node.servers.rows[server].outstanding;
            for (auto& node : m_nodes)
                node.servers.rows[server].peerOutstanding = all - node.servers.rows[server].outstanding;
        }
    }

    // Returns whether the part was cached.
    bool touch(Engine& engine, std::uint64_t hash, std::uint32_t tokens)
    {
        auto const found = engine.cached.find(hash);
        bool const isCached = found != engine.cached.end();
        if (isCached) {
            engine.recentlyUsed.splice(engine.recentlyUsed.begin(), engine.recentlyUsed, found->second);
            return true;
        }
        engine.recentlyUsed.emplace_front(hash, tokens);
        engine.cached[hash] = engine.recentlyUsed.begin();
        for (engine.cachedTokens += tokens; engine.cachedTokens > m_options.cacheTokens; engine.recentlyUsed.pop_back()) {
            engine.cachedTokens -= engine.recentlyUsed.back().second;
            engine.cached.erase(engine.recentlyUsed.back().first);
        }
        return false;
    }

    void arrive(double time, RequestKindModel const& kind, std::uint64_t kindNumber)
    {
        auto const nodeNumber = m_options.node ? m_options.node(m_random, time) : m_random.below(m_nodes.size());
        auto& node = m_nodes[nodeNumber];
        auto const prompt = m_random.unit() < kind.hotFraction ? 0 : m_random.below(kind.prompts);
        std::uint64_t const first = 1'000'000 * (kindNumber + 1) + 500'000 + prompt % 16;
        std::uint64_t const whole = 1'000'000 * (kindNumber + 1) + prompt;
        Routing::PlacementRequest request { .service = "model", .dataCentre = dataCentreOf(nodeNumber), .sharedPrefixHash = whole, .sharedTokens = kind.sharedTokens, .excludedServers = {} };
        auto const firstTokens = kind.sharedTokens / 4;
        request.prefixes = { { first, firstTokens }, { whole, kind.sharedTokens } };
        request.ownTokens = kind.ownTokens;
        Routing::AdaptiveInputs const inputs { node.speeds, node.residency, conditions() };
        Core::Error error;
        auto const placement = *Routing::placeRequest(node.servers, request, m_costs, m_random, at(time), error, m_options.isAdaptive ? &inputs : nullptr);
        Routing::countPlacement(node.speeds, "model", at(time));
        Routing::countRequest(node.residency, whole, at(time));
        auto const server = static_cast<std::size_t>(std::stoul(placement.serverId.substr(1)));
        auto& engine = m_engines[server];
        std::uint32_t read = kind.ownTokens;
        for (auto const& [hash, tokens] : { std::pair(first, firstTokens), std::pair(whole, kind.sharedTokens - firstTokens) }) {
            bool const isCached = touch(engine, hash, tokens);
            read += isCached ? 0 : tokens;
            if (!isCached && !m_readBefore.insert(hash).second && time >= m_options.warmUpSeconds)
                m_result.tokensReadAgain += tokens;
        }
        (void)touch(engine, ++m_ownPart, kind.ownTokens);
        // One way, a step of the engine, and the way back.
        static constexpr double stepSeconds = 0.0046;
        bool const isFar = server % 4 != nodeNumber % 4;
        double const way = isFar ? 0.0044 : 0.0003;
        auto const start = std::max(time + way, engine.busyUntil);
        auto const slowness = m_options.slowness(server, start);
        engine.busyUntil = start + read / m_options.tokensPerSecond * slowness;
        auto const firstEvent = engine.busyUntil + stepSeconds * slowness + way;
        auto const end = firstEvent + kind.generationSeconds * slowness;
        ++node.servers.rows[server].outstanding;
        auto const held = placement.estimate ? placement.estimate->heldTokens : placement.homeRank == 0 ? kind.sharedTokens
                                                                                                        : 0;
        m_events.emplace(firstEvent, [=, this, &node] {
            Routing::recordPlacement(node.residency, placement.serverId, placement.incarnation, request.prefixes, kind.ownTokens + kind.sharedTokens - held, conditions());
            Routing::FirstEvent event { .service = "model", .serverId = placement.serverId, .incarnation = placement.incarnation, .ownTokens = kind.ownTokens, .seconds = firstEvent - time, .requestsInProgress = placement.requestsInProgress, .slots = 64, .isInOtherDataCentre = isFar };
            event.expectedSeconds = placement.estimate ? placement.estimate->expectedSeconds : 0;
            if (m_options.statesSlowness)
                event.statedSlowness = m_options.slowness(server, firstEvent);
            Routing::recordFirstEvent(node.speeds, event, at(firstEvent));
        });
        m_events.emplace(end, [=, this, &node] {
            --node.servers.rows[server].outstanding;
            Routing::recordRequestEnd(node.speeds, "model", { kind.ownTokens + kind.sharedTokens, kind.ownTokens + kind.sharedTokens - held, firstEvent - time, end - time });
        });
        if (time < m_options.warmUpSeconds)
            return;
        m_delays.push_back(firstEvent - time);
        ++m_requestsByServer[server];
        if (slowness > 1)
            m_result.slowServersShare += 1;
        if (kind.hotFraction > 0 && prompt == 0)
            m_homesOfHotPrompt.insert(server);
    }

    ReplayResult result()
    {
        std::sort(m_delays.begin(), m_delays.end());
        for (auto const delay : m_delays)
            m_result.meanDelay += delay / static_cast<double>(m_delays.size());
        m_result.delay95 = m_delays[m_delays.size() * 95 / 100];
        for (auto const& [server, count] : m_requestsByServer)
            m_result.largestServerShare = std::max(m_result.largestServerShare, static_cast<double>(count) / static_cast<double>(m_delays.size()));
        m_result.slowServersShare /= static_cast<double>(m_delays.size());
        m_result.homesOfHotPrompt = m_homesOfHotPrompt.size();
        for (auto const& node : m_nodes)
            m_result.learntTokensPerSecond += Routing::tokensPerSecond(node.speeds, "model") / static_cast<double>(m_nodes.size());
        return m_result;
    }

    ReplayOptions m_options;
    Core::Random m_random;
    Routing::PlacementCosts m_costs;
    std::vector<Node> m_nodes;
    std::vector<Engine> m_engines;
    std::multimap<double, std::function<void()>> m_events;
    std::set<std::uint64_t> m_readBefore;
    bool m_areLost { false };
    std::uint64_t m_ownPart { 1'000'000'000 };
    std::vector<double> m_delays;
    std::map<std::size_t, std::size_t> m_requestsByServer;
    std::set<std::size_t> m_homesOfHotPrompt;
    ReplayResult m_result;
};
