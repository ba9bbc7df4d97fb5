#include <LibPeer/PeerServer.h>

#include <LibCore/Log.h>
#include <LibPeer/KjThread.h>
#include <LibPeer/PeerCodec.h>
#include <LibPeer/TrafficCounters.h>
#include <capnp/rpc-twoparty.h>
#include <future>
#include <kj/debug.h>
#include <unordered_map>

namespace Peer {

/// A receiver reads each message once; the traversal limit also counts the envelope.
static constexpr std::uint64_t receiveLimitWords = 2 * maximumMessageBytes / sizeof(capnp::word);
/// Above the design size of 410 nodes, each with one connection.
static constexpr std::size_t maximumConnections = 1024;

namespace {

/// State of the KJ thread. Created, used and destroyed there.
struct ServerLoop : private kj::TaskSet::ErrorHandler {
    ServerLoop()
        : tasks(*this)
    {
    }

    void taskFailed(kj::Exception&& exception) override
    {
        Core::logEvent(Core::LogLevel::Warning, "peer_connection_failed", { { "error", describe(exception) } });
    }

    std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> pending;
    std::uint64_t nextCall { 0 };
    std::size_t connections { 0 };
    kj::Timer* timer { nullptr };
    kj::Own<kj::ConnectionReceiver> listener;
    kj::TaskSet tasks;
};

struct Connection {
    Connection(kj::Own<kj::AsyncIoStream> ownStream, capnp::Capability::Client bootstrap)
        : stream(kj::mv(ownStream))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, capnp::ReaderOptions { receiveLimitWords, 64 })
        , system(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
        system.setFlowLimit(2 * receiveLimitWords);
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

}

class PeerServer::Implementation {
public:
    Implementation(Core::Runtime& runtime, PeerHandler& handler)
        : m_runtime(runtime)
        , m_handler(handler)
        , m_thread(std::make_shared<KjThread>())
    {
    }

    ~Implementation()
    {
        m_thread->stop([this](kj::AsyncIoContext&) { m_loop.reset(); });
    }

    bool listen(Core::Endpoint const& endpoint, Core::Error& error);
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] PeerTraffic traffic(TrafficClass trafficClass) const { return m_traffic.read(trafficClass); }

    template <typename Request, typename Reply, typename Context>
    kj::Promise<void> handleCall(Context context, Core::Awaitable<Reply> (PeerHandler::*method)(Request));

private:
    class Node;

    kj::Promise<void> accept();

    Core::Runtime& m_runtime;
    PeerHandler& m_handler;
    std::shared_ptr<KjThread> m_thread;
    /// Used on the KJ thread only; shared so that late replies can detect that it was destroyed.
    std::shared_ptr<ServerLoop> m_loop;
    std::uint16_t m_port { 0 };
    TrafficCounters m_traffic;
};

class PeerServer::Implementation::Node final : public Wire::Node::Server {
public:
    explicit Node(Implementation& server)
        : m_server(server)
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override { return m_server.handleCall(context, &PeerHandler::exchange); }
    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override { return m_server.handleCall(context, &PeerHandler::fetchConfiguration); }
    kj::Promise<void> replicate(ReplicateContext context) override { return m_server.handleCall(context, &PeerHandler::replicate); }
    kj::Promise<void> handOver(HandOverContext context) override { return m_server.handleCall(context, &PeerHandler::handOver); }
    kj::Promise<void> findStream(FindStreamContext context) override { return m_server.handleCall(context, &PeerHandler::findStream); }
    kj::Promise<void> beginIntent(BeginIntentContext context) override { return m_server.handleCall(context, &PeerHandler::beginIntent); }
    kj::Promise<void> finishIntent(FinishIntentContext context) override { return m_server.handleCall(context, &PeerHandler::finishIntent); }
    kj::Promise<void> fetchPlatformData(FetchPlatformDataContext context) override { return m_server.handleCall(context, &PeerHandler::fetchPlatformData); }

private:
    Implementation& m_server;
};

/// Runs one call on the runtime's thread. An exception leaves the reply empty, which the peer sees as a failed call.
template <typename Request, typename Reply>
static Core::Awaitable<void> runHandler(PeerHandler& handler, Core::Awaitable<Reply> (PeerHandler::*method)(Request), std::shared_ptr<Request> request, std::function<void(std::shared_ptr<std::optional<Reply>>)> finish)
{
    auto reply = std::make_shared<std::optional<Reply>>();
    try {
        *reply = co_await (handler.*method)(std::move(*request));
    } catch (std::exception const& error) {
        Core::logEvent(Core::LogLevel::Error, "peer_handler_failed", { { "error", error.what() } });
    }
    finish(std::move(reply));
}

template <typename Request, typename Reply, typename Context>
kj::Promise<void> PeerServer::Implementation::handleCall(Context context, Core::Awaitable<Reply> (PeerHandler::*method)(Request))
{
    auto request = std::make_shared<Request>();
    m_traffic.addReceived<Request>(context.getParams().totalSize().wordCount * sizeof(capnp::word));
    decode(context.getParams().getRequest(), *request);
    context.releaseParams();
    auto reply = std::make_shared<std::optional<Reply>>();
    auto finished = kj::newPromiseAndFulfiller<void>();
    auto const id = m_loop->nextCall++;
    m_loop->pending.emplace(id, kj::mv(finished.fulfiller));

    std::function<void(std::shared_ptr<std::optional<Reply>>)> finish = [thread = std::weak_ptr(m_thread), loop = std::weak_ptr(m_loop), id, reply](auto result) {
        auto const kjThread = thread.lock();
        if (!kjThread)
            return;
        kjThread->post([loop, id, reply, result = std::move(result)](kj::AsyncIoContext&) {
            auto const state = loop.lock();
            if (!state)
                return;
            *reply = std::move(*result);
            if (auto const entry = state->pending.find(id); entry != state->pending.end()) {
                auto fulfiller = kj::mv(entry->second);
                state->pending.erase(entry);
                fulfiller->fulfill();
            }
        });
    };
    m_runtime.post([&runtime = m_runtime, &handler = m_handler, thread = std::weak_ptr(m_thread), method, request, finish = std::move(finish)] {
        // The handler may have been destroyed together with the server.
        if (!thread.expired())
            runtime.spawn(runHandler(handler, method, request, finish));
    });
    return finished.promise.then([this, context, reply]() mutable {
        if (!reply->has_value())
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "the handler of the call threw an exception"));
        encode(**reply, context.getResults().initReply());
        auto const bytes = context.getResults().totalSize().wordCount * sizeof(capnp::word);
        if (bytes > maximumMessageBytes)
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "the reply exceeds the maximum message size", bytes, maximumMessageBytes));
        m_traffic.addSent<Request>(bytes);
    });
}

kj::Promise<void> PeerServer::Implementation::accept()
{
    return m_loop->listener->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
        if (m_loop->connections < maximumConnections) {
            ++m_loop->connections;
            auto connection = kj::heap<Connection>(kj::mv(stream), kj::heap<Node>(*this));
            auto disconnected = connection->network.onDisconnect();
            auto* const loop = m_loop.get();
            m_loop->tasks.add(disconnected.attach(kj::mv(connection), kj::defer([loop] { --loop->connections; })));
        } else {
            Core::logEvent(Core::LogLevel::Warning, "peer_connection_refused", { { "connections", static_cast<std::uint64_t>(m_loop->connections) } });
        }
        return accept(); }, [this](kj::Exception&& exception) {
        // Failures of accept(), such as a lack of file descriptors, are transient; the listener stays open.
        Core::logEvent(Core::LogLevel::Warning, "peer_accept_failed", { { "error", describe(exception) } });
        return m_loop->timer->afterDelay(100 * kj::MILLISECONDS).then([this] { return accept(); }); });
}

bool PeerServer::Implementation::listen(Core::Endpoint const& endpoint, Core::Error& error)
{
    // Binding to an IP address does not wait for the network, so this blocks only briefly.
    std::promise<std::string> bound;
    m_thread->post([this, &bound, address = endpoint.toString()](kj::AsyncIoContext& io) {
        auto const failure = kj::runCatchingExceptions([&] {
            m_loop = std::make_shared<ServerLoop>();
            m_loop->timer = &io.provider->getTimer();
            m_loop->listener = io.provider->getNetwork().parseAddress(address.c_str()).wait(io.waitScope)->listen();
            m_port = m_loop->listener->getPort();
            m_loop->tasks.add(accept());
        });
        KJ_IF_MAYBE (exception, failure) {
            bound.set_value(describe(*exception));
            return;
        }
        bound.set_value("");
    });
    auto const bindError = bound.get_future().get();
    if (bindError.empty())
        return true;
    Core::fail(error, Core::ErrorKind::InvalidSetting, "cannot listen on " + endpoint.toString() + ": " + bindError);
    return false;
}

PeerServer::PeerServer(Core::Runtime& runtime, PeerHandler& handler)
    : m_implementation(std::make_unique<Implementation>(runtime, handler))
{
}

PeerServer::~PeerServer() = default;

bool PeerServer::listen(Core::Endpoint const& endpoint, Core::Error& error)
{
    return m_implementation->listen(endpoint, error);
}

PeerTraffic PeerServer::traffic(TrafficClass trafficClass) const
{
    return m_implementation->traffic(trafficClass);
}

std::uint16_t PeerServer::port() const
{
    return m_implementation->port();
}

}
