#pragma once

#include <Edge/EdgeService.h>
#include <EdgeService/RawServer.h>
#include <EdgeService/StoreStandIn.h>
#include <Support/BlockingCall.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <platform/HeaderCodec.h>
#include <platform/RolloutCodec.h>
#include <platform/StoreClient.h>
#include <platform/StoreCodec.h>

namespace EdgeServiceTests {

using namespace std::chrono_literals;
using StandIns::RawServer;
using Reply = StandIns::RawServer::Reply;

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

inline std::string attemptIdOf(std::string const& request)
{
    auto const name = std::string("X-Hyssopstep-Attempt-Id: ");
    auto const at = request.find(name);
    return at == std::string::npos ? "" : request.substr(at + name.size(), request.find("\r\n", at) - at - name.size());
}

inline std::string httpResponse(std::string const& id, std::string const& body, std::string const& headers = {}, std::string const& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nX-Hyssopstep-Attempt-Id: " + id + "\r\nX-Hyssopstep-Server-Seal: seal\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(std::string const& bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

inline std::string streamHead(std::string const& id)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Hyssopstep-Attempt-Id: " + id + "\r\nX-Hyssopstep-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

// A complete edge service on loopback ports, with a stand-in for the store and scripted servers.
class EdgeServiceTest : public testing::Test {
protected:
    void start(std::uint64_t version = 1)
    {
        m_storeEndpoint = m_store.start();
        m_storeConnection.emplace(m_loop.runtime(), m_storeEndpoint);
        putConfiguration(version);
        startService();
        waitFor([&] { return m_service->tables().routes && m_service->tables().servers.rows.size() == m_servers.size(); });
    }

    void startService() { m_service = makeService("n1", m_peerListen); }

    std::unique_ptr<Edge::EdgeService> makeService(std::string const& nodeId, Core::Endpoint const& peerListen, std::vector<std::string> const& seedAddresses = {}, Platform::ObjectStore* store = nullptr)
    {
        Edge::EdgeSettings settings;
        settings.nodeId = nodeId;
        settings.dataCentre = "a";
        for (auto* endpoint : { &settings.clientListen, &settings.readyListen, &settings.peerListen, &settings.peerHttpListen, &settings.metricsListen })
            *endpoint = { "127.0.0.1", 0 };
        settings.peerListen = peerListen;
        settings.seedAddresses = seedAddresses;
        settings.gracePeriod = 3s;
        settings.retrySlack = m_retrySlack;
        settings.isFirstStart = m_isFirstStart;
        settings.admissionControl = m_admissionControl;
        settings.adaptivePlacement = m_adaptivePlacement;
        settings.rolloutShare = m_rolloutShare;
        settings.leaseDuration = m_leaseDuration;
        auto service = std::make_unique<Edge::EdgeService>(m_loop.runtime(), settings, Edge::PlatformInterfaces { requestCodec(), m_objectCodec, store ? *store : m_storeConnection->store, nullptr, "/ready", &m_rolloutCodec });
        Core::Error error;
        EXPECT_TRUE(service->start(error)) << error.message;
        return service;
    }

    virtual Forward::RequestCodec const& requestCodec() const { return m_requestCodec; }

    void putConfiguration(std::uint64_t version, std::string const& keys = R"("k1")", std::string const& timeout = "3000")
    {
        m_store.put("config", "main", R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"safe","host":"h.example","path-prefix":"/safe/","kind":"safe","timeout-ms":)"
                + timeout + R"(,"service":"app","max-attempts":2},
{"name":"unsafe","host":"h.example","path-prefix":"/unsafe/","kind":"unsafe","timeout-ms":)"
                + timeout + R"(,"service":"app","max-attempts":2},
{"name":"stream","host":"h.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"service":"app","max-attempts":2},
{"name":"resume","host":"h.example","path-prefix":"/resume/","kind":"streaming","timeout-ms":5000,"service":"app","max-attempts":2,"resumable":true}],
"services":[{"name":"app"}],"tenants":[{"name":"team","api-keys":[)"
                + keys + "]}]}");
    }

    RawServer& addServer(RawServer::Script script)
    {
        auto& server = *m_servers.emplace_back(std::make_unique<RawServer>(m_loop.runtime(), std::move(script)));
        putServerState("s" + std::to_string(m_servers.size()), "ready");
        return server;
    }

    // The entry has no time of birth if that is 0.
    void putServerState(std::string const& id, std::string const& state, std::uint64_t born = 0)
    {
        auto const& server = *m_servers.at(std::stoul(id.substr(1)) - 1);
        m_store.put("servers", id, R"({"service":"app","address":")" + server.endpoint().toString() + R"(","zone":"a","version":"v1","slots":6,"state":")" + state + R"(","seq":1)" + (born ? R"(,"born":)" + std::to_string(born) : "") + "}");
    }

    bool isLive(std::string const& id)
    {
        auto const* row = Routing::findServer(std::as_const(m_service->tables().servers), id);
        return row && row->lifecycle == Routing::Lifecycle::Live;
    }

    template <typename Condition>
    void waitFor(Condition condition)
    {
        auto const deadline = m_loop.deadline();
        auto task = [&]() -> Core::Awaitable<bool> {
            while (!condition() && m_loop.runtime().now() < deadline)
                co_await m_loop.runtime().sleepFor(5ms);
            co_return condition();
        };
        ASSERT_TRUE(m_loop.run(task()));
    }

    static std::string request(std::string const& path, std::string const& id = "id1", std::string const& method = "GET", std::string const& headers = {})
    {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Hyssopstep-Deadline-Ms: 4000\r\nX-Hyssopstep-Attempt-Id: " + id + "\r\n" + headers + "\r\n";
    }

    // Sends bytes on a new connection and returns what is received until the node closes it or sends nothing for idleTimeout.
    std::string exchange(std::string bytes, Core::Duration idleTimeout = 700ms)
    {
        return m_loop.run(exchangeTask(m_service->settings().clientListen, std::move(bytes), idleTimeout));
    }

    // The same with another endpoint of the node.
    std::string exchangeWith(Core::Endpoint const& endpoint, std::string bytes)
    {
        return m_loop.run(exchangeTask(endpoint, std::move(bytes), 700ms));
    }

    Core::Awaitable<std::string> exchangeTask(std::string bytes, Core::Duration idleTimeout)
    {
        return exchangeTask(m_service->settings().clientListen, std::move(bytes), idleTimeout);
    }

    Core::Awaitable<std::string> exchangeTask(Core::Endpoint endpoint, std::string bytes, Core::Duration idleTimeout)
    {
        tcp::socket socket(m_loop.runtime().context());
        (void)co_await socket.async_connect({ asio::ip::make_address(endpoint.address), endpoint.port }, useTuple);
        (void)co_await asio::async_write(socket, asio::buffer(bytes), useTuple);
        std::string received;
        while (true) {
            std::array<char, 4096> buffer {};
            auto timer = m_loop.runtime().callAt(m_loop.runtime().now() + idleTimeout, [&] { socket.cancel(); });
            auto [error, length] = co_await socket.async_read_some(asio::buffer(buffer), useTuple);
            received.append(buffer.data(), length);
            if (error)
                co_return received;
        }
    }

    // Sends a stream request with a prompt of three parts, of which the last is its own, and returns the status. Takes more than half a second.
    std::string sendPrompt(std::string const& middle)
    {
        auto const id = "prompt" + std::to_string(++m_prompts);
        return statusOf(exchange(request("/stream/" + id, id, "GET", "X-Hyssopstep-Token-Usage: 30,5\r\nX-Hyssopstep-Prompt-Prefix: base:10," + middle + ":10,own" + id + ":10\r\n"), 520ms));
    }

    static std::string statusOf(std::string const& response) { return response.size() < 12 ? "" : response.substr(9, 3); }

    struct StoreConnection {
        StoreConnection(Core::Runtime& runtime, Core::Endpoint const& endpoint)
            : http(runtime, {})
            , store(runtime, http, endpoint)
        {
        }

        HTTP::Client http;
        PlatformAdapter::StoreClient store;
    };

    TestSupport::EventLoop m_loop;
    StandIns::StoreStandIn m_store { m_loop.runtime() };
    Core::Endpoint m_storeEndpoint;
    std::optional<StoreConnection> m_storeConnection;
    PlatformAdapter::HeaderCodec const m_requestCodec {};
    PlatformAdapter::StoreCodec const m_objectCodec {};
    PlatformAdapter::RolloutCodec const m_rolloutCodec {};
    double m_rolloutShare { 0 };
    std::chrono::milliseconds m_leaseDuration { 3000 };
    double m_retrySlack { 100 };
    /// Whether no earlier process of the node can have spent its retry budget.
    bool m_isFirstStart { true };
    Edge::FeatureMode m_admissionControl { Edge::FeatureMode::Auto };
    Edge::FeatureMode m_adaptivePlacement { Edge::FeatureMode::Auto };
    Core::Endpoint m_peerListen { "127.0.0.1", 0 };
    int m_prompts { 0 };
    std::vector<std::unique_ptr<RawServer>> m_servers;
    std::unique_ptr<Edge::EdgeService> m_service;
};

}
