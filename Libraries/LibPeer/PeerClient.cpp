#include <LibPeer/PeerClient.h>

#include <LibPeer/KjThread.h>
#include <LibPeer/PeerCodec.h>
#include <LibPeer/TrafficCounters.h>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <unordered_map>

namespace Peer {

/// A receiver reads each message once; the traversal limit also counts the envelope.
static constexpr std::uint64_t receiveLimitWords = 2 * maximumMessageBytes / sizeof(capnp::word);
/// Limits one connection attempt; the deadlines of calls may end the wait earlier.
static constexpr auto connectTimeout = 3 * kj::SECONDS;
/// A connection is replaced after this many timeouts without a reply, because a peer that lost power sends no reset.
static constexpr unsigned timeoutsBeforeReconnect = 3;

namespace {

/// Resolves the race between the KJ thread that sends a call and the runtime's thread that cancels it, so that NotRun is
/// reported only if nothing was sent and nothing will be.
enum class CallStage {
    Queued,
    Sent,
    Cancelled,
};

struct CallProgress {
    std::atomic<CallStage> stage { CallStage::Queued };

    bool tryAdvanceTo(CallStage next)
    {
        auto expected = CallStage::Queued;
        return stage.compare_exchange_strong(expected, next);
    }
};

/// One connection to a peer. Used on the KJ thread only.
struct Connection : kj::Refcounted {
    explicit Connection(kj::Own<kj::AsyncIoStream> ownStream)
        : stream(kj::mv(ownStream))
        , network(*stream, capnp::rpc::twoparty::Side::CLIENT, capnp::ReaderOptions { receiveLimitWords, 64 })
        , system(capnp::makeRpcClient(network))
        , node(bootstrap())
    {
    }

    /// Lets each branch of a forked promise own the connection.
    kj::Own<Connection> addRef() { return kj::addRef(*this); }

    Wire::Node::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto identity = message.initRoot<capnp::rpc::twoparty::VatId>();
        identity.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system.bootstrap(identity).castAs<Wire::Node>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    Wire::Node::Client node;
};

/// The connection to a peer, which is being opened or open. Used on the KJ thread only.
struct PeerState : kj::Refcounted {
    kj::ForkedPromise<kj::Own<Connection>> connection { nullptr };
    /// Resolves when the connection is closed.
    kj::Promise<void> closed { nullptr };
    unsigned timeouts { 0 };
};

struct PendingCall {
    std::string peer;
    kj::Own<PeerState> state;
    kj::Canceler canceler;
};

/// State of the KJ thread. Created, used and destroyed there.
struct ClientLoop : private kj::TaskSet::ErrorHandler {
    explicit ClientLoop(kj::AsyncIoContext& context)
        : io(context)
        , tasks(*this)
    {
    }

    ~ClientLoop()
    {
        // Calls must be destroyed before the connections that they use.
        calls.clear();
    }

    void taskFailed(kj::Exception&&) override { }

    PeerState& peer(std::string const& address)
    {
        auto& entry = peers[address];
        if (entry.get())
            return *entry;
        entry = kj::refcounted<PeerState>();
        auto& network = io.provider->getNetwork();
        auto opening = network.parseAddress(address.c_str()).then([](kj::Own<kj::NetworkAddress> parsed) {
            auto stream = parsed->connect();
            return stream.attach(kj::mv(parsed));
        });
        auto& timer = io.provider->getTimer();
        auto limited = timer.timeoutAfter(connectTimeout, kj::mv(opening));
        auto* const state = entry.get();
        state->connection = limited.then([this, address, state](kj::Own<kj::AsyncIoStream> stream) {
                                       auto connection = kj::refcounted<Connection>(kj::mv(stream));
                                       auto disconnected = connection->network.onDisconnect().attach(kj::addRef(*connection));
                                       state->closed = disconnected.then([this, address, state] { dropPeer(address, state); }).eagerlyEvaluate(nullptr);
                                       return connection;
                                   })
                                .fork();
        tasks.add(state->connection.addBranch().then([](kj::Own<Connection>) {}, [this, address, state](kj::Exception&&) { dropPeer(address, state); }).attach(kj::addRef(*state)));
        return *entry;
    }

    /// Removes a connection, so that the next call opens a new one. Calls in progress keep it alive until they end. It is
    /// released in a separate event, because the caller may run inside a promise of the connection.
    void dropPeer(std::string const& address, PeerState const* state)
    {
        auto const entry = peers.find(address);
        if (entry == peers.end() || entry->second.get() != state)
            return;
        tasks.add(kj::evalLater([dropped = kj::mv(entry->second)] {}));
        peers.erase(entry);
    }

    void endCall(std::uint64_t id)
    {
        auto const entry = calls.find(id);
        if (entry == calls.end())
            return;
        tasks.add(kj::evalLater([ended = kj::mv(entry->second)] {}));
        calls.erase(entry);
    }

    kj::AsyncIoContext& io;
    std::unordered_map<std::string, kj::Own<PeerState>> peers;
    std::unordered_map<std::uint64_t, kj::Own<PendingCall>> calls;
    kj::TaskSet tasks;
};

}

class PeerClient::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(Core::Runtime& runtime, std::map<std::string, Core::Endpoint> routes)
        : m_runtime(runtime)
        , m_routes(std::move(routes))
    {
        m_thread.post([this](kj::AsyncIoContext& io) { m_loop = std::make_unique<ClientLoop>(io); });
    }

    ~Implementation() { shutDown(); }

    void shutDown()
    {
        m_thread.stop([this](kj::AsyncIoContext&) { m_loop.reset(); });
        for (auto& [id, call] : std::exchange(m_waiting, {}))
            call->end();
    }

    [[nodiscard]] PeerTraffic traffic(TrafficClass trafficClass) const { return m_traffic.read(trafficClass); }

    template <typename Reply, typename Request, typename Method>
    Core::Awaitable<std::optional<Reply>> call(Core::Endpoint, Request, Method, Core::MonotonicTime deadline, Core::Error&);

private:
    /// The completion state of a call, stored in the frame of its coroutine.
    struct Waiter {
        explicit Waiter(Core::Runtime& runtime)
            : signal(runtime.context(), Core::asio::steady_timer::time_point::max())
        {
        }

        void end()
        {
            ended = true;
            signal.cancel();
        }

        Core::asio::steady_timer signal;
        bool ended { false };
        bool succeeded { false };
        Core::Error error { Core::ErrorKind::Cancelled, Core::RunState::Unknown, "the peer client was closed", std::nullopt };
    };

    /// Registers a waiter until the coroutine ends or is destroyed.
    struct Registration {
        Registration(Implementation& implementation, std::uint64_t callId, Waiter& waiter)
            : owner(implementation)
            , id(callId)
        {
            owner.m_waiting.emplace(id, &waiter);
        }
        Registration(Registration const&) = delete;
        Registration& operator=(Registration const&) = delete;
        ~Registration() { owner.m_waiting.erase(id); }

        Implementation& owner;
        std::uint64_t id;
    };

    void finish(std::uint64_t id, std::optional<Core::Error> failure)
    {
        auto const entry = m_waiting.find(id);
        if (entry == m_waiting.end())
            return;
        auto& waiter = *entry->second;
        waiter.succeeded = !failure;
        if (failure)
            waiter.error = std::move(*failure);
        waiter.end();
    }

    template <typename Reply, typename Request, typename Method>
    void start(std::uint64_t id, std::string const& address, std::shared_ptr<Request> const&, Method, std::shared_ptr<CallProgress> const&, std::shared_ptr<Reply> const&);

    Core::Runtime& m_runtime;
    std::map<std::string, Core::Endpoint> m_routes;
    TrafficCounters m_traffic;
    std::unordered_map<std::uint64_t, Waiter*> m_waiting;
    std::uint64_t m_nextCall { 0 };
    /// Used on the KJ thread only.
    std::unique_ptr<ClientLoop> m_loop;
    KjThread m_thread;
};

/// Runs on the KJ thread.
template <typename Reply, typename Request, typename Method>
void PeerClient::Implementation::start(std::uint64_t id, std::string const& address, std::shared_ptr<Request> const& request, Method method, std::shared_ptr<CallProgress> const& progress, std::shared_ptr<Reply> const& reply)
{
    auto& loop = *m_loop;
    auto& peer = loop.peer(address);
    auto pending = kj::heap<PendingCall>();
    pending->peer = address;
    pending->state = kj::addRef(peer);

    auto exchange = peer.connection.addBranch().then([this, request, method, progress, reply](kj::Own<Connection> connection) -> kj::Promise<void> {
        auto call = method(connection->node);
        encode(*request, call.initRequest());
        auto const bytes = call.totalSize().wordCount * sizeof(capnp::word);
        if (bytes > maximumMessageBytes)
            return KJ_EXCEPTION(FAILED, "the request exceeds the maximum message size", bytes, maximumMessageBytes);
        if (!progress->tryAdvanceTo(CallStage::Sent))
            return kj::READY_NOW;
        m_traffic.addSent<Request>(bytes);
        auto received = call.send().then([this, reply](auto response) {
            m_traffic.addReceived<Request>(response.totalSize().wordCount * sizeof(capnp::word));
            decode(response.getReply(), *reply);
        });
        return received.attach(kj::mv(connection));
    });
    auto report = [this, id, weak = weak_from_this()](std::optional<Core::Error> failure) {
        m_runtime.post([weak, id, failure = std::move(failure)] {
            if (auto const self = weak.lock())
                self->finish(id, failure);
        });
    };
    auto* const state = &peer;
    auto done = pending->canceler.wrap(kj::mv(exchange)).then([this, id, report, state] {
            state->timeouts = 0;
            report(std::nullopt);
            m_loop->endCall(id); }, [this, id, report, state, address, progress](kj::Exception&& exception) {
            auto const runState = progress->tryAdvanceTo(CallStage::Cancelled) ? Core::RunState::NotRun : Core::RunState::Unknown;
            if (exception.getType() == kj::Exception::Type::DISCONNECTED)
                m_loop->dropPeer(address, state);
            report(Core::Error { Core::ErrorKind::PeerUnreachable, runState, "peer " + address + ": " + describe(exception), std::nullopt });
            m_loop->endCall(id); });
    loop.calls.emplace(id, kj::mv(pending));
    loop.tasks.add(kj::mv(done));
}

template <typename Reply, typename Request, typename Method>
Core::Awaitable<std::optional<Reply>> PeerClient::Implementation::call(Core::Endpoint endpoint, Request request, Method method, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const self = shared_from_this();
    auto const id = m_nextCall++;
    auto const advertised = endpoint.toString();
    auto const route = m_routes.find(advertised);
    auto const address = route == m_routes.end() ? advertised : route->second.toString();
    auto const progress = std::make_shared<CallProgress>();
    auto const reply = std::make_shared<Reply>();
    Waiter waiter(m_runtime);
    Registration const registration(*this, id, waiter);
    bool timedOut = false;
    auto timer = m_runtime.callAt(deadline, [&] {
        timedOut = true;
        waiter.end();
    });
    m_thread.post([this, id, address, shared = std::make_shared<Request>(std::move(request)), method, progress, reply](kj::AsyncIoContext&) {
        start(id, address, shared, method, progress, reply);
    });
    while (!waiter.ended)
        co_await waiter.signal.async_wait(Core::asio::as_tuple(Core::asio::use_awaitable));

    if (waiter.succeeded)
        co_return std::move(*reply);
    if (!timedOut) {
        error = waiter.error;
        co_return std::nullopt;
    }
    auto const runState = progress->tryAdvanceTo(CallStage::Cancelled) ? Core::RunState::NotRun : Core::RunState::Unknown;
    m_thread.post([this, id](kj::AsyncIoContext&) {
        auto const entry = m_loop->calls.find(id);
        if (entry == m_loop->calls.end())
            return;
        auto& state = *entry->second->state;
        if (++state.timeouts >= timeoutsBeforeReconnect)
            m_loop->dropPeer(entry->second->peer, &state);
        entry->second->canceler.cancel("the deadline passed");
    });
    co_return Core::fail(error, Core::ErrorKind::DeadlineExceeded, "peer " + address + " did not reply before the deadline", runState);
}

PeerClient::PeerClient(Core::Runtime& runtime, std::map<std::string, Core::Endpoint> routes)
    : m_implementation(std::make_shared<Implementation>(runtime, std::move(routes)))
{
}

PeerClient::~PeerClient()
{
    m_implementation->shutDown();
}

Core::Awaitable<std::optional<ExchangeReply>> PeerClient::exchange(Core::Endpoint endpoint, ExchangeRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.exchangeRequest(); };
    return m_implementation->call<ExchangeReply>(std::move(endpoint), std::move(request), method, deadline, error);
}

Core::Awaitable<std::optional<FetchConfigurationReply>> PeerClient::fetchConfiguration(Core::Endpoint endpoint, FetchConfigurationRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.fetchConfigurationRequest(); };
    return m_implementation->call<FetchConfigurationReply>(std::move(endpoint), request, method, deadline, error);
}

Core::Awaitable<std::optional<ReplicateReply>> PeerClient::replicate(Core::Endpoint endpoint, ReplicateRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.replicateRequest(); };
    return m_implementation->call<ReplicateReply>(std::move(endpoint), std::move(request), method, deadline, error);
}

Core::Awaitable<std::optional<HandOverReply>> PeerClient::handOver(Core::Endpoint endpoint, HandOverRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.handOverRequest(); };
    return m_implementation->call<HandOverReply>(std::move(endpoint), std::move(request), method, deadline, error);
}

Core::Awaitable<std::optional<FindStreamReply>> PeerClient::findStream(Core::Endpoint endpoint, FindStreamRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.findStreamRequest(); };
    return m_implementation->call<FindStreamReply>(std::move(endpoint), std::move(request), method, deadline, error);
}

Core::Awaitable<std::optional<BeginIntentReply>> PeerClient::beginIntent(Core::Endpoint endpoint, BeginIntentRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.beginIntentRequest(); };
    return m_implementation->call<BeginIntentReply>(std::move(endpoint), std::move(request), method, deadline, error);
}

Core::Awaitable<std::optional<FinishIntentReply>> PeerClient::finishIntent(Core::Endpoint endpoint, FinishIntentRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.finishIntentRequest(); };
    return m_implementation->call<FinishIntentReply>(std::move(endpoint), std::move(request), method, deadline, error);
}

Core::Awaitable<std::optional<FetchPlatformDataReply>> PeerClient::fetchPlatformData(Core::Endpoint endpoint, FetchPlatformDataRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const method = [](Wire::Node::Client& node) { return node.fetchPlatformDataRequest(); };
    return m_implementation->call<FetchPlatformDataReply>(std::move(endpoint), request, method, deadline, error);
}

PeerTraffic PeerClient::traffic(TrafficClass trafficClass) const
{
    return m_implementation->traffic(trafficClass);
}

}
