#include <Integration/Figures.h>

#include <StandIns/EngineTokens.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <cstdio>
#include <sstream>

namespace Integration {

Figures& Figures::operator+=(Figures const& other)
{
    sent += other.sent;
    faults += other.faults;
    sentAgain += other.sentAgain;
    cutOff += other.cutOff;
    lost += other.lost;
    wrong += other.wrong;
    return *this;
}

void printFigures(std::string_view promise, Figures const& figures)
{
    std::printf("figures: promise=%.*s sent=%llu faults=%llu sent_again=%llu cut_off=%llu lost=%llu wrong_tokens=%llu\n", static_cast<int>(promise.size()), promise.data(),
        static_cast<unsigned long long>(figures.sent), static_cast<unsigned long long>(figures.faults), static_cast<unsigned long long>(figures.sentAgain),
        static_cast<unsigned long long>(figures.cutOff), static_cast<unsigned long long>(figures.lost), static_cast<unsigned long long>(figures.wrong));
}

testing::AssertionResult isWholeAnswer(Cluster const& cluster, std::string const& requestId, std::vector<std::string> const& tokens, std::size_t length)
{
    if (tokens.size() != length)
        return testing::AssertionFailure() << tokens.size() << " tokens instead of " << length << " for " << requestId;
    if (!StandIns::isConsistentOutput(tokens))
        return testing::AssertionFailure() << "tokens missing, repeated or of two attempts for " << requestId;
    auto const attempts = cluster.attemptsOf(requestId);
    bool const recorded = std::any_of(attempts.begin(), attempts.end(), [&](auto const& attempt) { return attempt.resumedFrom == 0 && attempt.firstToken == tokens.front(); });
    if (!recorded)
        return testing::AssertionFailure() << "no engine gave the first token of " << requestId << " to it";
    return testing::AssertionSuccess();
}

std::vector<std::string> tokensOfBody(std::string const& body)
{
    boost::json::error_code error;
    auto const value = boost::json::parse(body, error);
    if (error || !value.is_object() || !value.get_object().contains("choices"))
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
    , m_endpoints(cluster.clientsExcept(nullptr))
{
    auto const start = [&](Kind kind, unsigned count) {
        for (unsigned index = 0; index < count; ++index)
            m_threads.emplace_back([this, kind, index] { run(kind, index); });
    };
    start(Kind::Streamed, options.streamingClients);
    start(Kind::Whole, options.wholeClients);
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

bool LoadClients::waitForAnswers(std::uint64_t count) const
{
    return TestSupport::waitUntil([&, goal = m_answered + count] { return m_answered >= goal; });
}

Figures LoadClients::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_total;
}

void LoadClients::note(std::string const& text)
{
    std::lock_guard const lock(m_mutex);
    std::fprintf(stderr, "client: %s\n", text.c_str());
}

void LoadClients::run(Kind kind, unsigned)
{
    Figures figures;
    while (!m_stopping) {
        ++figures.sent;
        if (kind == Kind::Streamed)
            sendStreamed(figures);
        else if (kind == Kind::Whole)
            sendWhole(figures);
        else
            sendService(figures);
        ++m_answered;
    }
    std::lock_guard const lock(m_mutex);
    m_total += figures;
}

void LoadClients::sendStreamed(Figures& figures)
{
    auto const request = chatRequest("load " + newKey() + " length=" + std::to_string(m_options.length), true, newKey());
    std::unique_ptr<AnswerReader> reader;
    auto const accepted = [&] {
        if (reader)
            ++figures.sentAgain;
        reader = std::make_unique<AnswerReader>(nextEndpoint(), request);
        return reader->connected();
    };
    if (!TestSupport::waitUntil(accepted)) {
        ++figures.lost;
        note("never accepted: " + reader->error());
        return;
    }
    reader->readAll();
    if (!reader->complete()) {
        ++figures.cutOff;
        note("cut off: " + reader->requestId() + " " + reader->error());
        auto const advance = [&] {
            reader->completeAt({ nextEndpoint() }, std::chrono::milliseconds(0));
            return reader->complete();
        };
        if (!TestSupport::waitUntil(advance)) {
            ++figures.lost;
            note("lost: " + reader->requestId() + " " + reader->error());
            return;
        }
    }
    figures.wrong += reader->tokens().size() == m_options.length && StandIns::isConsistentOutput(reader->tokens()) ? 0 : 1;
}

// Whether the node refused this call before it did anything. With a key, a refusal while draining has the run state unknown,
// because an earlier call may have run.
static bool isNotRun(HTTP::Response const& response)
{
    return response.body.find("\"run_state\":\"not_run\"") != std::string::npos || response.body.find("\"kind\":\"draining\"") != std::string::npos;
}

void LoadClients::sendWhole(Figures& figures)
{
    auto request = chatRequest("load " + newKey() + " length=" + std::to_string(m_options.length), false, newKey());
    Core::Error reason;
    std::optional<HTTP::Response> response;
    auto const answered = [&] {
        response = TestSupport::blockingCall(nextEndpoint(), request, reason);
        if (response && response->status == 200)
            return true;
        bool const notRun = response ? isNotRun(*response) : reason.runState == Core::RunState::NotRun;
        ++(notRun ? figures.sentAgain : figures.cutOff);
        if (!notRun)
            note("cut off: " + (response ? response->body : reason.message));
        return false;
    };
    if (!TestSupport::waitUntil(answered)) {
        ++figures.lost;
        return;
    }
    auto const tokens = tokensOfBody(response->body);
    figures.wrong += tokens.size() == m_options.length && StandIns::isConsistentOutput(tokens) ? 0 : 1;
}

void LoadClients::sendService(Figures& figures)
{
    auto const key = newKey();
    bool const isIdempotent = m_options.serviceCalls == Configuration::Idempotency::Idempotent;
    Core::Error reason;
    std::optional<HTTP::Response> response;
    auto const answered = [&] {
        auto request = refundRequest(key);
        if (isIdempotent) {
            request.method = "GET";
            request.target = "/services/storefront/stock";
        }
        response = TestSupport::blockingCall(nextEndpoint(), std::move(request), reason);
        bool const notRun = response ? response->status != 200 && isNotRun(*response) : reason.runState == Core::RunState::NotRun;
        figures.sentAgain += notRun ? 1 : 0;
        return !notRun;
    };
    if (!TestSupport::waitUntil(answered)) {
        ++figures.lost;
    } else if (!response || response->status != 200) {
        // The outcome is unknown to the client.
        ++figures.cutOff;
        note("call cut off: " + (response ? response->body : reason.message));
    } else if (!isIdempotent && m_cluster.executionsOf(key) != 1) {
        ++figures.wrong;
    }
}

}
