#include <Integration/RefundClients.h>

#include <LibConfiguration/Codec.h>
#include <LibCore/Random.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::Cluster;
namespace json = boost::json;

namespace {

enum class Port {
    Client,
    Operator,
};

struct BadInput {
    std::string name;
    Port port;
    /// The bytes to send.
    std::string bytes;
    unsigned status;
    std::string kind;
    /// The part of the error detail that names the location of the error.
    std::string location;
};

std::string const authorization = "Authorization: Bearer " + std::string(Integration::classroomKey) + "\r\n";
std::string const uuid4 = "Idempotency-Key: 3f1c2a0e-9c1b-4c5e-8a55-0d6f1b7c2e11\r\n";

std::string message(std::string const& line, std::string const& headers, std::string const& body)
{
    return line + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chat(std::string const& body)
{
    return message("POST /v1/chat/completions", authorization, body);
}

std::string refund(std::string const& headers)
{
    return message("POST /services/storefront/refunds", headers, "{}");
}

std::string apply(std::string const& body)
{
    return message("PUT /operator/desired-state", "", body);
}

// Returns a valid apply request with a change to its JSON body.
template <typename Change>
std::string applyWithChange(Change change)
{
    json::object body { { "basedOnGeneration", 1 }, { "applyId", "bad" }, { "appliedBy", "ada" }, { "comment", "" }, { "desired", Configuration::toJson(Integration::testState()) } };
    change(body);
    return apply(json::serialize(body));
}

json::object& firstService(json::object& body)
{
    return body.at("desired").as_object().at("services").as_array().at(0).as_object();
}

std::vector<BadInput> badInputs()
{
    auto const text = std::string(R"("messages":[{"role":"user","content":"hi"}])");
    return {
        { "no_http", Port::Client, "this is not HTTP\r\n\r\n", 400, "invalid_request", "" },
        { "bad_version", Port::Client, "GET / HTTP/9.9\r\n\r\n", 400, "invalid_request", "" },
        { "bad_header", Port::Client, "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "invalid_request", "" },
        { "bad_content_length", Port::Client, "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: minus\r\n\r\n", 400, "invalid_request", "" },
        { "bad_chunk", Port::Client, "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "invalid_request", "" },
        { "headers_too_large", Port::Client, "GET / HTTP/1.1\r\nA: " + std::string(40'000, 'a') + "\r\n\r\n", 431, "headers_too_large", "" },
        { "body_too_large", Port::Client, "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413, "request_too_large", "" },
        { "unknown_path", Port::Client, message("GET /v2/none", authorization, ""), 404, "not_found", "/v2/none" },
        { "wrong_method", Port::Client, message("DELETE /v1/chat/completions", authorization, ""), 405, "method_not_allowed", "DELETE" },
        { "no_key", Port::Client, message("POST /v1/chat/completions", "", "{\"model\":\"advisor\"," + text + "}"), 401, "unauthorized", "Authorization" },
        { "wrong_key", Port::Client, message("POST /v1/chat/completions", "Authorization: Bearer wrong\r\n", "{\"model\":\"advisor\"," + text + "}"), 401, "unauthorized", "" },
        { "broken_json", Port::Client, chat("{\"model\":"), 400, "invalid_request", "JSON" },
        { "deep_json", Port::Client, chat(std::string(100'000, '[')), 400, "invalid_request", "JSON" },
        { "not_an_object", Port::Client, chat("[]"), 400, "invalid_request", "" },
        { "unknown_field", Port::Client, chat("{\"model\":\"advisor\",\"temprature\":1," + text + "}"), 400, "invalid_request", "/temprature" },
        { "wrong_type", Port::Client, chat("{\"model\":7," + text + "}"), 400, "invalid_request", "/model" },
        { "wrong_role_type", Port::Client, chat(R"({"model":"advisor","messages":[{"role":1,"content":"a"}]})"), 400, "invalid_request", "/messages/0/role" },
        { "negative_max_tokens", Port::Client, chat("{\"model\":\"advisor\",\"max_tokens\":-1," + text + "}"), 400, "invalid_request", "/max_tokens" },
        { "unknown_model", Port::Client, chat("{\"model\":\"none\"," + text + "}"), 403, "forbidden", "none" },
        { "bad_deadline", Port::Client, message("POST /services/storefront/refunds", authorization + "Hyssopstep-Deadline-Ms: soon\r\n", "{}"), 400, "invalid_request", "Hyssopstep-Deadline-Ms" },
        { "no_idempotency_key", Port::Client, refund(authorization), 400, "idempotency_key_required", "" },
        { "wrong_idempotency_key", Port::Client, refund(authorization + "Idempotency-Key: 7\r\n"), 400, "idempotency_key_invalid", "" },
        { "uuid_of_another_version", Port::Client, refund(authorization + uuid4), 400, "idempotency_key_invalid", "" },
        { "key_of_the_past", Port::Client, refund(authorization + "Idempotency-Key: 018c0000-0000-7000-8000-000000000000\r\n"), 422, "idempotency_key_expired", "" },
        { "key_of_the_future", Port::Client, refund(authorization + "Idempotency-Key: fff00000-0000-7000-8000-000000000000\r\n"), 400, "idempotency_key_invalid", "" },
        { "unknown_operation", Port::Client, message("POST /services/storefront/none", authorization, "{}"), 404, "not_found", "/none" },
        { "foreign_service", Port::Client, message("POST /services/other/refunds", authorization, "{}"), 403, "forbidden", "other" },
        { "unknown_request", Port::Client, message("GET /v1/requests/r0?from=1-2", authorization, ""), 404, "stream_not_found", "r0" },
        { "bad_query", Port::Client, message("GET /v1/requests/r0?from=%%%", authorization, ""), 400, "invalid_request", "target" },
        { "operator_bad_query", Port::Operator, message("GET /operator/audit?limit=%%%", "", ""), 400, "invalid_request", "target" },
        { "operator_no_http", Port::Operator, std::string("\x16\x03\x01\x00", 4) + "TLS?\r\n\r\n", 400, "invalid_request", "" },
        { "operator_headers_too_large", Port::Operator, "GET / HTTP/1.1\r\nA: " + std::string(40'000, 'a') + "\r\n\r\n", 431, "headers_too_large", "" },
        { "operator_body_too_large", Port::Operator, "PUT /operator/desired-state HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413, "request_too_large", "" },
        { "operator_unknown_path", Port::Operator, message("GET /operator/none", "", ""), 404, "not_found", "" },
        { "operator_wrong_method", Port::Operator, message("DELETE /operator/desired-state", "", ""), 405, "method_not_allowed", "GET, PUT" },
        { "operator_bad_limit", Port::Operator, message("GET /operator/audit?limit=all", "", ""), 400, "invalid_request", "limit" },
        { "operator_broken_json", Port::Operator, apply("{\"basedOnGeneration\":1"), 400, "invalid_request", "JSON" },
        { "operator_deep_json", Port::Operator, apply(std::string(100'000, '[')), 400, "invalid_request", "JSON" },
        { "operator_not_an_object", Port::Operator, apply("7"), 422, "invalid_configuration", "" },
        { "operator_unknown_field", Port::Operator, applyWithChange([](json::object& body) { body["basedOn"] = 1; }), 422, "invalid_configuration", "basedOn" },
        { "operator_wrong_type", Port::Operator, applyWithChange([](json::object& body) { body["basedOnGeneration"] = "one"; }), 422, "invalid_configuration", "basedOnGeneration" },
        { "operator_unknown_service_field", Port::Operator, applyWithChange([](json::object& body) { firstService(body)["colour"] = "red"; }), 422, "invalid_configuration", "services/0/colour" },
        { "operator_wrong_service_type", Port::Operator, applyWithChange([](json::object& body) { firstService(body)["maximumServers"] = "many"; }), 422, "invalid_configuration", "services/0/maximumServers" },
        { "operator_negative_number", Port::Operator, applyWithChange([](json::object& body) { firstService(body)["minimumServers"] = -1; }), 422, "invalid_configuration", "services/0/minimumServers" },
        { "operator_bad_name", Port::Operator, applyWithChange([](json::object& body) { firstService(body)["name"] = "no spaces allowed"; }), 422, "invalid_configuration", "services/0/name" },
        { "operator_state_too_large", Port::Operator, applyWithChange([](json::object& body) {
             auto& teams = body.at("desired").as_object().at("teams").as_array();
             auto team = teams.at(0);
             for (unsigned index = 0; index < 990; ++index) {
                 team.as_object()["name"] = "team-" + std::to_string(index);
                 json::array digests;
                 for (unsigned digest = 0; digest < 16; ++digest)
                     digests.emplace_back(Configuration::keyDigest(std::to_string(index) + "/" + std::to_string(digest)));
                 team.as_object()["keyDigests"] = std::move(digests);
                 teams.push_back(team);
             } }), 422, "invalid_configuration", "the whole desired state" },
        { "operator_old_base", Port::Operator, applyWithChange([](json::object& body) { body["basedOnGeneration"] = 0; firstService(body)["maximumServers"] = 9; }), 409, "apply_conflict", "generation" },
    };
}

// Sends raw bytes and returns what the node sends until it closes the connection or is silent for the receive time-out.
std::string exchangeRaw(Core::Endpoint const& endpoint, std::string const& bytes)
{
    static constexpr std::size_t maximumResponseBytes = 1'000'000;
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code errorCode;
    socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port }, errorCode);
    if (errorCode)
        return "";
    timeval const bound { 3, 0 };
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
    boost::asio::write(socket, boost::asio::buffer(bytes), errorCode);
    std::string response;
    std::array<char, 4096> buffer {};
    while (response.size() < maximumResponseBytes) {
        auto const length = recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
        if (length <= 0)
            break;
        response.append(buffer.data(), static_cast<std::size_t>(length));
    }
    return response;
}

class BadInputTest : public testing::Test {
protected:
    BadInputTest()
        : m_cluster(options())
    {
        m_cluster.start();
    }

    static Integration::ClusterOptions options()
    {
        Integration::ClusterOptions options;
        options.dataCentres = 1;
        options.enginesPerDataCentre = 1;
        return options;
    }

    // Checks that nothing was executed or applied, and that every node still serves.
    void expectUnchanged()
    {
        EXPECT_TRUE(Integration::executionsByKey(m_cluster).empty());
        for (auto const& node : m_cluster.nodes()) {
            ASSERT_TRUE(node->process->isRunning()) << node->process->log();
            auto const status = m_cluster.status(*node);
            ASSERT_TRUE(status.is_object());
            EXPECT_EQ(status.at("generation"), 1);
            EXPECT_EQ(status.at("phase"), "serving");
        }
        auto const writes = m_cluster.platform().acceptedWrites();
        EXPECT_EQ(std::count_if(writes.begin(), writes.end(), [](auto const& write) { return write.kind == "desiredstates" || write.kind == "intents"; }), 1);
    }

    Cluster m_cluster;
};

}

// Guards against bad input that yields an error without kind or location, has an effect, or stops a process.
TEST_F(BadInputTest, GetsAClearErrorAndChangesNothing)
{
    std::size_t sent = 0;
    auto const& node = m_cluster.node(0);
    for (auto const& input : badInputs()) {
        SCOPED_TRACE(input.name);
        auto const response = exchangeRaw(input.port == Port::Client ? node.clientEndpoint : node.operatorEndpoint, input.bytes);
        ++sent;
        EXPECT_TRUE(response.starts_with("HTTP/1.1 " + std::to_string(input.status) + " ")) << response.substr(0, 400);
        auto const bodyAt = response.find("\r\n\r\n");
        json::error_code errorCode;
        auto const body = bodyAt == std::string::npos ? json::value {} : json::parse(response.substr(bodyAt + 4), errorCode);
        ASSERT_TRUE(!errorCode && body.is_object()) << response.substr(0, 400);
        EXPECT_EQ(body.at("kind"), json::string(input.kind)) << response.substr(0, 600);
        EXPECT_FALSE(body.at("detail").as_string().empty());
        EXPECT_NE(std::string(body.at("detail").as_string()).find(input.location), std::string::npos) << body.at("detail").as_string();
        ASSERT_TRUE(node.process->isRunning());
    }
    expectUnchanged();
    std::printf("promise=bad_input inputs=%zu\n", sent);
}

// Guards against "not run" in the refusal of a resumed stream, whose request has run.
TEST_F(BadInputTest, RefusedContinuationsAreUnknown)
{
    Integration::ResponseReader reader(m_cluster.node(0).clientEndpoint, Integration::chatRequest("hello length=10", true));
    reader.readAll();
    ASSERT_TRUE(reader.complete()) << reader.error();
    auto const path = "GET /v1/requests/" + reader.requestId();
    auto const withoutKey = exchangeRaw(m_cluster.node(0).clientEndpoint, message(path, "", ""));
    EXPECT_NE(withoutKey.find("\"run_state\":\"unknown\""), std::string::npos) << withoutKey;
    for (auto const* position : { "%%%", "none" }) {
        auto const refused = exchangeRaw(m_cluster.node(0).clientEndpoint, message(path + "?from=" + position, authorization, ""));
        EXPECT_TRUE(refused.starts_with("HTTP/1.1 400 ")) << refused;
        EXPECT_NE(refused.find("\"run_state\":\"unknown\""), std::string::npos) << refused;
    }
}

// Guards against input that stops a process: random bytes and randomly mutated test messages, sent to the three ports of a node.
TEST_F(BadInputTest, RandomBytesStopNothing)
{
    static constexpr std::uint64_t seed = 99;
    static constexpr unsigned rounds = 3000;
    Core::Random random(seed);
    auto const valid = badInputs();
    auto const& node = m_cluster.node(0);
    auto const post = [](Core::Endpoint const& endpoint, std::string const& bytes) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        boost::system::error_code errorCode;
        socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port }, errorCode);
        boost::asio::write(socket, boost::asio::buffer(bytes), errorCode);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, errorCode);
        std::array<char, 256> buffer {};
        timeval const bound { 0, 50'000 };
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
        (void)recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
    };
    for (unsigned round = 0; round < rounds; ++round) {
        std::string bytes;
        if (random.below(2) == 0) {
            bytes.resize(1 + random.below(2000));
            for (auto& byte : bytes)
                byte = static_cast<char>(random.below(256));
        } else {
            bytes = valid[random.below(valid.size())].bytes.substr(0, 3000);
            for (unsigned change = 0; change < 1 + random.below(8); ++change)
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        std::array const endpoints { node.clientEndpoint, node.operatorEndpoint, node.peerEndpoint };
        post(endpoints[round % endpoints.size()], bytes);
        ASSERT_TRUE(node.process->isRunning()) << "seed " << seed << " round " << round << "\n"
                                               << node.process->log();
    }
    expectUnchanged();
    std::printf("promise=random_bytes seed=%llu messages=%u\n", static_cast<unsigned long long>(seed), rounds);
}
