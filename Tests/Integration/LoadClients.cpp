#include <Integration/LoadClients.h>

#include <StandIns/EngineTokens.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <sstream>

namespace Integration {

RequestCounts& RequestCounts::operator+=(RequestCounts const& other)
{
    sent += other.sent;
    faults += other.faults;
    sentAgain += other.sentAgain;
    cutOff += other.cutOff;
    lost += other.lost;
    wrong += other.wrong;
    return *this;
}

void printCounts(std::string_view invariants, RequestCounts const& counts)
{
    std::printf("figures: promise=%.*s sent=%llu faults=%llu sent_again=%llu cut_off=%llu lost=%llu wrong_tokens=%llu\n", static_cast<int>(invariants.size()), invariants.data(),
        static_cast<unsigned long long>(counts.sent), static_cast<unsigned long long>(counts.faults), static_cast<unsigned long long>(counts.sentAgain),
        static_cast<unsigned long long>(counts.cutOff), static_cast<unsigned long long>(counts.lost), static_cast<unsigned long long>(counts.wrong));
}

testing::AssertionResult isCompleteOutput(Cluster const& cluster, std::string const& requestId, std::vector<std::string> const& tokens, std::size_t length)
{
    if (tokens.size() != length)
        return testing::AssertionFailure() << tokens.size() << " tokens for " << requestId << ", expected " << length;
    if (!StandIns::isConsistentOutput(tokens))
        return testing::AssertionFailure() << "tokens are missing, repeated or from two attempts for " << requestId;
    auto const attempts = cluster.attemptsOf(requestId);
    bool const recorded = std::any_of(attempts.begin(), attempts.end(), [&](auto const& attempt) { return attempt.resumedFrom == 0 && attempt.firstToken == tokens.front(); });
    if (!recorded)
        return testing::AssertionFailure() << "no engine recorded an attempt with the first token that " << requestId << " received";
    return testing::AssertionSuccess();
}

std::vector<std::string> parseOutputTokens(std::string const& body)
{
    boost::json::error_code errorCode;
    auto const value = boost::json::parse(body, errorCode);
    if (errorCode || !value.is_object() || !value.get_object().contains("choices"))
        return {};
    std::istringstream text(std::string(value.at("choices").at(0).at("message").at("content").as_string()));
    std::vector<std::string> tokens;
    for (std::string token; text >> token;)
        tokens.push_back(token);
    return tokens;
}

LoadClients::LoadClients(Cluster& cluster, LoadOptions options)
    : m_cluster(cluster)
    , m_options(options)
    , m_endpoints(cluster.clientEndpointsExcept(nullptr))
{
    auto const start = [&](Kind kind, unsigned count) {
        for (unsigned index = 0; index < count; ++index)
            m_threads.emplace_back([this, kind, index] { run(kind, index); });
    };
    start(Kind::Streamed, options.streamingClients);
    start(Kind::Whole, options.bufferedClients);
    start(Kind::Service, options.serviceClients);
}

void LoadClients::setEndpoints(std::vector<Core::Endpoint> endpoints)
{
    std::lock_guard const lock(m_mutex);
    m_endpoints = std::move(endpoints);
}

Core::Endpoint LoadClients::nextEndpoint()
{
    std::lock_guard const lock(m_mutex);
    return m_endpoints[m_next++ % m_endpoints.size()];
}

bool LoadClients::waitForFinishedRequests(std::uint64_t count) const
{
    return TestSupport::waitUntil([&, goal = m_finishedRequests + count] { return m_finishedRequests >= goal; });
}

RequestCounts LoadClients::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_total;
}

void LoadClients::logEvent(std::string const& text)
{
    std::lock_guard const lock(m_mutex);
    std::fprintf(stderr, "client: %s\n", text.c_str());
}

void LoadClients::run(Kind kind, unsigned)
{
    RequestCounts counts;
    while (!m_stopping) {
        ++counts.sent;
        if (kind == Kind::Streamed)
            sendStreamed(counts);
        else if (kind == Kind::Whole)
            sendBuffered(counts);
        else
            callService(counts);
        ++m_finishedRequests;
    }
    std::lock_guard const lock(m_mutex);
    m_total += counts;
}

void LoadClients::sendStreamed(RequestCounts& counts)
{
    auto const request = chatRequest("load " + newKey() + " length=" + std::to_string(m_options.length), true, newKey());
    std::unique_ptr<ResponseReader> reader;
    auto const accepted = [&] {
        if (reader)
            ++counts.sentAgain;
        reader = std::make_unique<ResponseReader>(nextEndpoint(), request);
        return reader->connected();
    };
    if (!TestSupport::waitUntil(accepted)) {
        ++counts.lost;
        logEvent("request not accepted by any node: " + reader->error());
        return;
    }
    reader->readAll();
    if (!reader->complete()) {
        ++counts.cutOff;
        logEvent("response cut off: " + reader->requestId() + " " + reader->error());
        auto const advance = [&] {
            reader->completeAt({ nextEndpoint() }, std::chrono::milliseconds(0));
            return reader->complete();
        };
        if (!TestSupport::waitUntil(advance)) {
            ++counts.lost;
            logEvent("response could not be resumed: " + reader->requestId() + " " + reader->error());
            return;
        }
    }
    counts.wrong += reader->tokens().size() == m_options.length && StandIns::isConsistentOutput(reader->tokens()) ? 0 : 1;
}

// Whether the node refused this call without executing it. A draining node refuses a call with an Idempotency-Key with the run
// state "unknown", because an earlier call with that key may have run.
static bool wasNotRun(HTTP::Response const& response)
{
    return response.body.find("\"run_state\":\"not_run\"") != std::string::npos || response.body.find("\"kind\":\"draining\"") != std::string::npos;
}

void LoadClients::sendBuffered(RequestCounts& counts)
{
    auto request = chatRequest("load " + newKey() + " length=" + std::to_string(m_options.length), false, newKey());
    Core::Error error;
    std::optional<HTTP::Response> response;
    auto const answered = [&] {
        response = TestSupport::blockingCall(nextEndpoint(), request, error);
        if (response && response->status == 200)
            return true;
        bool const notRun = response ? wasNotRun(*response) : error.runState == Core::RunState::NotRun;
        ++(notRun ? counts.sentAgain : counts.cutOff);
        if (!notRun)
            logEvent("request cut off: " + (response ? response->body : error.message));
        return false;
    };
    if (!TestSupport::waitUntil(answered)) {
        ++counts.lost;
        return;
    }
    auto const tokens = parseOutputTokens(response->body);
    counts.wrong += tokens.size() == m_options.length && StandIns::isConsistentOutput(tokens) ? 0 : 1;
}

void LoadClients::callService(RequestCounts& counts)
{
    auto const key = newKey();
    bool const isIdempotent = m_options.serviceCalls == Configuration::Idempotency::Idempotent;
    Core::Error error;
    std::optional<HTTP::Response> response;
    auto const answered = [&] {
        auto request = refundRequest(key);
        if (isIdempotent) {
            request.method = "GET";
            request.target = "/services/storefront/stock";
        }
        response = TestSupport::blockingCall(nextEndpoint(), std::move(request), error);
        bool const notRun = response ? response->status != 200 && wasNotRun(*response) : error.runState == Core::RunState::NotRun;
        counts.sentAgain += notRun ? 1 : 0;
        return !notRun;
    };
    if (!TestSupport::waitUntil(answered)) {
        ++counts.lost;
    } else if (!response || response->status != 200) {
        // The client does not know the outcome.
        ++counts.cutOff;
        logEvent("call cut off: " + (response ? response->body : error.message));
    } else if (!isIdempotent && m_cluster.executionsOf(key) != 1) {
        ++counts.wrong;
    }
}

}
