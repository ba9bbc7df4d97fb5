#pragma once

#include <LibMembership/MembershipService.h>
#include <LibPeer/PeerCodec.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>

/// An in-memory object store that can be made unreachable for single data centres.
class FakeStore final : public Platform::ObjectStore {
public:
    FakeStore(Core::Runtime& runtime, bool const& reachable)
        : m_runtime(runtime)
        , m_reachable(reachable)
    {
    }

    Core::Awaitable<std::optional<Platform::StoredObject>> read(Platform::ObjectKey, Core::MonotonicTime, Core::Error& error) override { co_return fail(error); }
    Core::Awaitable<std::optional<Core::StoreRevision>> create(Platform::ObjectKey, std::string, Core::MonotonicTime, Core::Error& error) override { co_return fail(error); }
    Core::Awaitable<std::optional<Core::StoreRevision>> update(Platform::ObjectKey, std::string, Core::StoreRevision, Core::MonotonicTime, Core::Error& error) override { co_return fail(error); }
    Core::Awaitable<std::optional<Core::StoreRevision>> updateStatus(Platform::ObjectKey, std::string, Core::StoreRevision, Core::MonotonicTime, Core::Error& error) override { co_return fail(error); }
    Core::Awaitable<bool> remove(Platform::ObjectKey, Core::StoreRevision, Core::MonotonicTime, Core::Error&) override { co_return false; }

    Core::Awaitable<std::optional<Platform::ObjectList>> list(std::string, Core::MonotonicTime, Core::Error& error) override
    {
        if (!m_reachable)
            co_return fail(error);
        Platform::ObjectList list { {}, generation };
        if (generation > 0)
            list.objects.push_back(object());
        co_return list;
    }

    Core::Awaitable<std::optional<Platform::ObjectChanges>> waitForChanges(std::string, Core::StoreRevision after, Core::MonotonicTime deadline, Core::Error& error) override
    {
        while (generation <= after.number && m_runtime.now() < deadline && m_reachable)
            co_await m_runtime.sleepFor(std::chrono::milliseconds(100));
        if (!m_reachable)
            co_return fail(error);
        Platform::ObjectChanges changes { {}, after };
        if (generation > after.number) {
            changes.events.push_back({ Platform::ObjectEventKind::Put, object() });
            changes.resourceVersion.number = generation;
        }
        co_return changes;
    }

    static inline std::uint64_t generation = 0;

private:
    static std::nullopt_t fail(Core::Error& error) { return Core::fail(error, Core::ErrorKind::StoreUnavailable, "simulated outage"); }
    static Platform::StoredObject object() { return { { "desiredstates", "current" }, { 0, generation }, "{\"generation\":" + std::to_string(generation) + "}" }; }

    Core::Runtime& m_runtime;
    bool const& m_reachable;
};

/// Membership services on one simulated clock, connected by a simulated network with loss and partitions.
class Cluster {
public:
    struct Node final : Membership::PeerCalls {
        Node(Cluster& owner, std::string nodeId, std::string dataCentreName)
            : cluster(owner)
            , id(std::move(nodeId))
            , dataCentre(std::move(dataCentreName))
        {
        }

        Core::Awaitable<std::optional<Peer::ExchangeReply>> exchange(Core::Endpoint to, Peer::ExchangeRequest request, Core::MonotonicTime deadline, Core::Error& error) override
        {
            ++exchanges;
            return call<Peer::ExchangeReply>(to, std::move(request), deadline, error);
        }

        Core::Awaitable<std::optional<Peer::FetchConfigurationReply>> fetchConfiguration(Core::Endpoint to, Peer::FetchConfigurationRequest request, Core::MonotonicTime deadline, Core::Error& error) override
        {
            return call<Peer::FetchConfigurationReply>(to, request, deadline, error);
        }

        template <typename Reply, typename Request>
        Core::Awaitable<std::optional<Reply>> call(Core::Endpoint to, Request request, Core::MonotonicTime deadline, Core::Error& error)
        {
            std::optional<Reply> reply;
            co_await cluster.m_runtime.sleepFor(std::chrono::milliseconds(2));
            if (auto* const target = cluster.route(*this, to)) {
                reply = target->service->handle(request);
                co_await cluster.m_runtime.sleepFor(std::chrono::milliseconds(2));
                if (cluster.route(*target, endpoint))
                    co_return reply;
            }
            co_await cluster.m_runtime.sleepUntil(deadline);
            co_return Core::fail(error, Core::ErrorKind::DeadlineExceeded, "the message was lost");
        }

        Cluster& cluster;
        std::string id;
        std::string dataCentre;
        Core::Endpoint endpoint;
        bool running { true };
        std::uint64_t exchanges { 0 };
        std::uint64_t highestGeneration { 0 };
        std::unique_ptr<Core::Random> random;
        std::unique_ptr<FakeStore> store;
        std::unique_ptr<Membership::MembershipService> service;
    };

    explicit Cluster(std::uint64_t seed)
        : m_random(seed)
    {
        m_runtime.pause();
        FakeStore::generation = 1;
    }

    Node& add(std::string const& id, std::string const& dataCentre, std::uint64_t incarnation = 1)
    {
        auto& node = *m_nodes.emplace_back(std::make_unique<Node>(*this, id, dataCentre));
        auto const number = m_nodes.size();
        node.endpoint = { "10.0." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250), 7000 };
        m_byEndpoint[node.endpoint] = &node;
        node.random = std::make_unique<Core::Random>(m_random.bits());
        node.store = std::make_unique<FakeStore>(m_runtime, m_storeReachable.try_emplace(dataCentre, true).first->second);
        Membership::MembershipSettings settings;
        settings.self = { id, node.endpoint, node.endpoint, dataCentre, "region-" + dataCentre, incarnation };
        settings.seeds = m_seeds;
        node.service = std::make_unique<Membership::MembershipService>(m_runtime, *node.store, node, *node.random, settings);
        node.service->start();
        return node;
    }

    /// Starts nodes in each data centre; the first node of each is a seed for all.
    void build(unsigned dataCentres, unsigned nodesEach)
    {
        for (unsigned i = 0; i < dataCentres; ++i)
            m_seeds.push_back({ "10.0.0." + std::to_string(2 + i), 7000 });
        for (unsigned i = 0; i < nodesEach; ++i) {
            for (unsigned j = 0; j < dataCentres; ++j)
                add("node-" + std::to_string(j) + "-" + std::to_string(i), "dc-" + std::to_string(j));
        }
    }

    /// Advances the clock in steps and checks after each that no node's generation decreases.
    void advance(Core::Duration duration)
    {
        auto const end = m_runtime.now() + duration;
        while (m_runtime.now() < end) {
            m_runtime.advance(std::chrono::milliseconds(20));
            m_context.restart();
            m_context.poll();
            for (auto const& node : m_nodes) {
                auto const generation = node->service->configuration().generation();
                ASSERT_GE(generation, node->highestGeneration) << node->id;
                node->highestGeneration = generation;
            }
        }
    }

    /// Advances until the condition holds; returns the time it took, or the limit.
    template <typename Condition>
    Core::Duration advanceUntil(Condition condition, Core::Duration limit)
    {
        auto const begin = m_runtime.now();
        while (m_runtime.now() - begin < limit && !condition())
            advance(std::chrono::milliseconds(100));
        return m_runtime.now() - begin;
    }

    [[nodiscard]] bool all(std::function<bool(Node&)> const& condition)
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto& node) { return !node->running || condition(*node); });
    }

    /// Whether every running node considers exactly the running nodes on its side of the partition not dead.
    [[nodiscard]] bool tablesConverged()
    {
        return all([&](Node& node) {
            for (auto const& other : m_nodes) {
                auto const* const row = node.service->nodes().find(other->id);
                auto const seen = row && row->liveness != Membership::Liveness::Dead;
                if (seen != (other->running && !arePartitioned(node, *other)))
                    return false;
            }
            return true;
        });
    }

    [[nodiscard]] bool allHaveGeneration(std::uint64_t generation)
    {
        return all([&](Node& node) { return node.service->configuration().generation() == generation; });
    }

    void pause(Node& node)
    {
        node.running = false;
        node.service->stop();
    }

    void resume(Node& node)
    {
        node.running = true;
        node.service->start();
    }

    [[nodiscard]] bool arePartitioned(Node const& left, Node const& right) const
    {
        return m_partitioned.contains(left.dataCentre) != m_partitioned.contains(right.dataCentre);
    }

    Node* route(Node const& from, Core::Endpoint const& to)
    {
        auto const target = m_byEndpoint.find(to);
        if (target == m_byEndpoint.end() || !target->second->running || !from.running || arePartitioned(from, *target->second) || m_random.unit() < m_loss)
            return nullptr;
        return target->second;
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
    Core::Random m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<Core::Endpoint, Node*> m_byEndpoint;
    std::vector<Core::Endpoint> m_seeds;
    std::map<std::string, bool> m_storeReachable;
    std::set<std::string> m_partitioned;
    double m_loss { 0 };
};
