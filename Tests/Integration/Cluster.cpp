#include <Integration/Cluster.h>

#include <LibConfiguration/Codec.h>
#include <LibCore/Random.h>
#include <LibCore/Uuid.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <random>
#include <stdexcept>

namespace Integration {

namespace json = boost::json;
using namespace std::chrono_literals;
using TestSupport::ChildProcess;

static std::string const anyPort = "127.0.0.1:0";

std::string dataCentreName(unsigned number)
{
    return "dc" + std::to_string(number + 1);
}

Configuration::DesiredState testState()
{
    Configuration::Service advisor;
    advisor.name = "advisor";
    advisor.kind = Configuration::ServiceKind::Model;
    advisor.versions = { { "v1", "advisor-v1", 1 } };
    advisor.maximumServers = 20;
    Configuration::Service storefront;
    storefront.name = "storefront";
    storefront.operations = {
        { "refund", "POST", "/refunds", Configuration::Idempotency::NonIdempotent },
        { "stock", "GET", "/stock", Configuration::Idempotency::Idempotent },
    };
    storefront.maximumServers = 20;
    Configuration::Team classroom;
    classroom.name = "classroom";
    // SHA-256 of classroomKey.
    classroom.keyDigests = { "6132003c1a767bba2634eefebf8113308fd23927f98bb4d757cb93ee4f488a3a" };
    classroom.services = { "advisor", "storefront" };
    Configuration::DesiredState state;
    state.services = { advisor, storefront };
    state.teams = { classroom };
    return state;
}

// Waits until the process has logged `count` endpoints of an interface. Throws if it does not.
static std::vector<Core::Endpoint> endpointsOf(ChildProcess& process, std::string const& interface, std::size_t count)
{
    std::vector<Core::Endpoint> endpoints;
    auto const collect = [&] {
        endpoints.clear();
        auto const log = process.log();
        auto const marker = "event=listening interface=" + interface + " ";
        static constexpr std::string_view field = "endpoint=";
        for (auto at = log.find(marker); at != std::string::npos; at = log.find(marker, at + 1)) {
            auto const lineEnd = log.find('\n', at);
            auto const start = log.find(field, at);
            if (lineEnd == std::string::npos || start == std::string::npos || start > lineEnd)
                continue;
            auto const end = log.find_first_of(" \n", start);
            Core::Error error;
            if (auto const endpoint = Core::parseEndpoint(log.substr(start + field.size(), end - start - field.size()), error))
                endpoints.push_back(*endpoint);
        }
        return endpoints.size() >= count;
    };
    if (!TestSupport::waitUntil(collect))
        throw std::runtime_error("process did not log " + std::to_string(count) + " endpoints of " + interface + ":\n" + process.log());
    return endpoints;
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
{
    m_platform = std::make_unique<ChildProcess>(std::vector<std::string> { STAND_IN_BINARY, "platform", "--listen=" + anyPort });
    auto const platform = m_platform->endpoint("platform");
    m_platformSwitches = std::make_unique<TestSupport::PlatformSwitches>(platform);
    std::string listens;
    std::string targets;
    for (unsigned number = 0; number < m_options.dataCentres; ++number) {
        listens += (number > 0 ? "," : "") + anyPort;
        targets += (number > 0 ? "," : "") + platform.toString();
    }
    m_proxy = std::make_unique<ChildProcess>(std::vector<std::string> { STAND_IN_BINARY, "proxy", "--listen=" + listens, "--target=" + targets });
    m_proxySwitches = std::make_unique<TestSupport::ProxySwitches>(m_proxy->endpoint("control"));
    for (unsigned number = 0; number < m_options.dataCentres; ++number)
        startBackends(number);
    registerHosts();
    if (m_options.peerLinks == PeerLinks::ThroughProxy)
        reservePeerPorts();
    for (unsigned number = 0; number < m_options.dataCentres; ++number) {
        for (unsigned index = 0; index < m_options.nodesPerDataCentre; ++index)
            addNode("node" + std::to_string(number + 1) + std::string(1, static_cast<char>('a' + index)), dataCentreName(number));
    }
}

void Cluster::startBackends(unsigned number)
{
    auto const dataCentre = dataCentreName(number);
    auto const startKind = [&](std::string const& kind, unsigned count, std::vector<std::string> const& flags, std::vector<ClusterServer>& servers) {
        if (count == 0)
            return;
        std::vector<std::string> arguments { STAND_IN_BINARY, kind, "--listen=" + anyPort, "--count=" + std::to_string(count) };
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        auto& process = *m_backends.emplace_back(std::make_unique<ChildProcess>(arguments));
        for (auto const& endpoint : endpointsOf(process, kind, count))
            servers.push_back({ kind + std::to_string(servers.size()), endpoint, dataCentre });
    };
    startKind("engine", m_options.enginesPerDataCentre, m_options.engineFlags, m_engines);
    startKind("service", m_options.servicesPerDataCentre, m_options.serviceFlags, m_services);
}

void Cluster::reservePeerPorts()
{
    static boost::asio::io_context context;
    std::string listens;
    std::string targets;
    for (unsigned index = 0; index < m_options.dataCentres * m_options.nodesPerDataCentre; ++index) {
        auto& socket = *m_reservedPorts.emplace_back(std::make_unique<boost::asio::ip::tcp::socket>(context, boost::asio::ip::tcp::v4()));
        socket.set_option(boost::asio::socket_base::reuse_address(true));
        socket.bind({ boost::asio::ip::address_v4::loopback(), 0 });
        auto const& endpoint = m_peerEndpoints.emplace_back(Core::Endpoint { "127.0.0.1", socket.local_endpoint().port() });
        listens += (index > 0 ? "," : "") + anyPort;
        targets += (index > 0 ? "," : "") + endpoint.toString();
    }
    m_peerProxy = std::make_unique<ChildProcess>(std::vector<std::string> { STAND_IN_BINARY, "proxy", "--listen=" + listens, "--target=" + targets });
    m_peerProxySwitches = std::make_unique<TestSupport::ProxySwitches>(m_peerProxy->endpoint("control"));
}

void Cluster::registerHosts()
{
    std::vector<Platform::Host> hosts;
    auto const add = [&](std::vector<ClusterServer> const& servers, std::string const& service, std::string const& version) {
        for (auto const& server : servers)
            hosts.push_back({ server.id, Platform::HostRole::Backend, server.endpoint, service, version, server.dataCentre, server.dataCentre + "-zone", "small", true, Platform::HostState::Live, 1 });
    };
    add(m_engines, "advisor", "v1");
    add(m_services, "storefront", "");
    m_platformSwitches->registerHosts(hosts);
}

ClusterNode& Cluster::addNode(std::string id, std::string dataCentre)
{
    auto const number = static_cast<unsigned>(dataCentre.back() - '1');
    std::vector<std::string> arguments {
        HYSSOPSTEP_BINARY, "node", "--node_id=" + id, "--data_centre=" + dataCentre, "--region=us-south",
        "--client_listen=" + anyPort, "--operator_listen=" + anyPort,
        "--platform=" + m_proxy->endpoint("proxy" + std::to_string(number)).toString()
    };
    auto const index = m_nodes.size();
    arguments.push_back("--peer_listen=" + (index < m_peerEndpoints.size() ? m_peerEndpoints[index].toString() : anyPort));
    std::string routes;
    for (std::size_t other = 0; other < m_peerEndpoints.size(); ++other) {
        if (other / m_options.nodesPerDataCentre != number)
            routes += (routes.empty() ? "" : ",") + m_peerEndpoints[other].toString() + "=" + m_peerProxy->endpoint("proxy" + std::to_string(other)).toString();
    }
    if (!routes.empty())
        arguments.push_back("--peer_routes=" + routes);
    std::string seeds;
    for (auto const& node : m_nodes)
        seeds += (seeds.empty() ? "" : ",") + node->peerEndpoint.toString();
    arguments.push_back("--seeds=" + seeds);
    arguments.insert(arguments.end(), m_options.nodeFlags.begin(), m_options.nodeFlags.end());
    auto node = std::make_unique<ClusterNode>();
    node->id = std::move(id);
    node->dataCentre = std::move(dataCentre);
    node->process = std::make_unique<ChildProcess>(std::move(arguments));
    node->clientEndpoint = node->process->endpoint("client");
    node->operatorEndpoint = node->process->endpoint("operator");
    node->peerEndpoint = node->process->endpoint("peer");
    m_platformSwitches->registerHosts({ { node->id, Platform::HostRole::Entry, node->clientEndpoint, "", "", node->dataCentre, node->dataCentre + "-zone", "small", true, Platform::HostState::Live, 1 } });
    return *m_nodes.emplace_back(std::move(node));
}

HTTP::Response Cluster::apply(ClusterNode const& node, Configuration::DesiredState const& state, std::uint64_t basedOnGeneration, std::string applyId)
{
    json::object body {
        { "basedOnGeneration", basedOnGeneration },
        { "applyId", applyId },
        { "appliedBy", "tester" },
        { "comment", "test" },
        { "desired", Configuration::toJson(state) },
    };
    HTTP::Request request { "PUT", "/operator/desired-state", { { "Content-Type", "application/json" } }, json::serialize(body) };
    Core::Error error;
    auto response = TestSupport::blockingCall(node.operatorEndpoint, std::move(request), error);
    if (!response)
        throw std::runtime_error("apply: " + error.message);
    return *response;
}

json::value Cluster::status(ClusterNode const& node)
{
    Core::Error error;
    HTTP::Request request { "GET", "/operator/status", {}, "" };
    auto const response = TestSupport::blockingCall(node.operatorEndpoint, std::move(request), error, 2s);
    return response ? json::parse(response->body) : json::value {};
}

void Cluster::start()
{
    auto const response = apply(node(0), testState(), 0, "first");
    if (response.status != 200)
        throw std::runtime_error("apply: " + response.body);
    auto const isReady = [&](ClusterNode const& node) {
        auto const value = status(node);
        if (!value.is_object())
            return false;
        auto const& object = value.get_object();
        return object.at("phase") == "serving" && object.at("servers").as_array().size() == m_engines.size() + m_services.size()
            && object.at("nodes").as_array().size() == m_nodes.size();
    };
    bool const ready = TestSupport::waitUntil([&] { return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto const& entry) { return isReady(*entry); }); });
    if (!ready)
        throw std::runtime_error("the cluster did not become ready\n" + nodeLogs());
}

std::size_t Cluster::executionsOf(std::string const& idempotencyKey) const
{
    std::size_t executions = 0;
    for (auto const& service : m_services) {
        auto const record = TestSupport::callStandIn(service.endpoint, "GET", "/stand-in/record");
        for (auto const& execution : record.at("executions").as_array())
            executions += execution.at("idempotencyKey") == json::string(idempotencyKey) ? 1 : 0;
    }
    return executions;
}

void Cluster::setEngineFaults(json::object const& faults, std::optional<std::size_t> engine) const
{
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        if (!engine || *engine == index)
            TestSupport::callStandIn(m_engines[index].endpoint, "PUT", "/stand-in/faults", faults);
    }
}

// Retries, because a crashed engine does not listen until its next incarnation.
static json::value recordOf(ClusterServer const& server)
{
    json::value record;
    auto const read = [&] {
        try {
            record = TestSupport::callStandIn(server.endpoint, "GET", "/stand-in/record");
            return true;
        } catch (std::runtime_error const&) {
            return false;
        }
    };
    if (!TestSupport::waitUntil(read))
        throw std::runtime_error("cannot read the record of " + server.id);
    return record;
}

std::vector<EngineAttempt> Cluster::attemptsOf(std::string const& requestId) const
{
    std::vector<EngineAttempt> attempts;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        auto const record = recordOf(m_engines[index]);
        for (auto const& request : record.at("requests").as_object()) {
            if (!requestId.empty() && std::string_view(request.key()) != requestId)
                continue;
            for (auto const& attempt : request.value().at("attempts").as_array()) {
                attempts.push_back({ index, std::string(attempt.at("outcome").as_string()), attempt.at("computed").to_number<std::uint64_t>(), attempt.at("prefilled").to_number<std::uint64_t>(),
                    attempt.at("resumedFrom").to_number<std::uint64_t>(), attempt.at("startedAtMs").to_number<std::int64_t>(), std::string(attempt.at("firstToken").as_string()) });
            }
        }
    }
    std::stable_sort(attempts.begin(), attempts.end(), [](auto const& left, auto const& right) { return left.startedAtMs < right.startedAtMs; });
    return attempts;
}

std::uint64_t Cluster::engineTotal(std::string const& name) const
{
    std::uint64_t total = 0;
    for (auto const& engine : m_engines)
        total += recordOf(engine).at("totals").at(name).to_number<std::uint64_t>();
    return total;
}

std::string Cluster::livenessOf(ClusterNode const& observer, std::string const& nodeId)
{
    auto const value = status(observer);
    if (!value.is_object())
        return "";
    for (auto const& row : value.at("nodes").as_array()) {
        if (row.at("id").as_string() == nodeId)
            return std::string(row.at("liveness").as_string());
    }
    return "";
}

std::vector<Core::Endpoint> Cluster::clientEndpointsExcept(ClusterNode const* excluded) const
{
    std::vector<Core::Endpoint> endpoints;
    for (auto const& node : m_nodes) {
        if (node.get() != excluded)
            endpoints.push_back(node->clientEndpoint);
    }
    return endpoints;
}

std::string Cluster::nodeLogs() const
{
    std::string logs;
    for (auto const& node : m_nodes)
        logs += "--- " + node->id + "\n" + node->process->log();
    return logs;
}

HTTP::Request chatRequest(std::string const& prompt, bool streamed, std::string const& key)
{
    json::object body {
        { "model", "advisor" },
        { "messages", json::array { json::object { { "role", "user" }, { "content", prompt } } } },
        { "max_tokens", 4000 },
        { "stream", streamed },
    };
    HTTP::Headers headers { { "Authorization", "Bearer " + std::string(classroomKey) }, { "Content-Type", "application/json" } };
    if (!key.empty())
        headers.add("Idempotency-Key", key);
    return { "POST", "/v1/chat/completions", headers, json::serialize(body) };
}

HTTP::Request refundRequest(std::string const& key, std::string const& body)
{
    HTTP::Headers headers { { "Authorization", "Bearer " + std::string(classroomKey) }, { "Content-Type", "application/json" }, { "Idempotency-Key", key }, { "Hyssopstep-Deadline-Ms", "10000" } };
    return { "POST", "/services/storefront/refunds", headers, body };
}

std::string newKey()
{
    thread_local Core::Random random(std::random_device {}());
    return Core::generateUuidV7(random, std::chrono::system_clock::now()).toString();
}

ResponseReader::ResponseReader(Core::Endpoint const& endpoint, HTTP::Request request)
{
    open(endpoint, std::move(request));
}

ResponseReader::ResponseReader(ResponseReader const& other)
    : m_tokens(other.m_tokens)
    , m_lastEventId(other.m_lastEventId)
    , m_requestId(other.m_requestId)
    , m_complete(other.m_complete)
{
}

bool ResponseReader::open(Core::Endpoint const& endpoint, HTTP::Request request)
{
    m_parser = {};
    m_error.clear();
    Core::Error error;
    m_stream = m_loop.run(m_client.openStream(endpoint, std::move(request), HTTP::ConnectionUse::NewConnection, m_loop.deadline(), error));
    if (!m_stream) {
        m_error = error.message;
        return false;
    }
    if (auto const id = m_stream->headers().find("Hyssopstep-Request-Id"))
        m_requestId = *id;
    if (m_stream->status() == 200)
        return true;
    auto const body = m_loop.run(m_stream->readSome(m_loop.deadline(), error));
    m_error = body.value_or(error.message);
    m_stream.reset();
    return false;
}

void ResponseReader::handleEvent(HTTP::ServerSentEvent const& event)
{
    if (event.data == "[DONE]") {
        m_complete = true;
        return;
    }
    auto const value = json::parse(event.data);
    if (value.as_object().contains("kind")) {
        m_error = event.data;
        return;
    }
    if (event.id.empty())
        return;
    auto const content = std::string(value.at("choices").at(0).at("delta").at("content").as_string());
    m_tokens.push_back(content.substr(0, content.size() - 1));
    m_lastEventId = event.id;
}

void ResponseReader::readTokens(std::size_t count)
{
    Core::Error error;
    while (m_stream && !m_complete && m_tokens.size() < count) {
        auto const bytes = m_loop.run(m_stream->readSome(m_loop.deadline(), error));
        if (!bytes || bytes->empty()) {
            m_stream.reset();
            return;
        }
        for (auto const& event : m_parser.feed(*bytes))
            handleEvent(event);
    }
}

bool ResponseReader::resumeAt(Core::Endpoint const& endpoint)
{
    HTTP::Request request { "GET", "/v1/requests/" + m_requestId + "?from=" + m_lastEventId, { { "Authorization", "Bearer " + std::string(classroomKey) } }, "" };
    return open(endpoint, std::move(request));
}

void ResponseReader::completeAt(std::vector<Core::Endpoint> const& endpoints, std::chrono::milliseconds bound)
{
    std::size_t next = 0;
    auto const advance = [&] {
        if (!m_stream)
            resumeAt(endpoints[next++ % endpoints.size()]);
        readAll();
        return m_complete;
    };
    (void)TestSupport::waitUntil(advance, bound);
}

}
