#pragma once

#include <LibCore/Runtime.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace HTTP {

/// What a connection does, as far as its memory is concerned.
enum class HoldingPhase {
    /// Between two requests.
    Idle,
    /// Reads a request that has not been passed to its handler.
    Receiving,
    /// The handler works on the request, which may have been sent to a server.
    Running,
    /// Waits for the client to read.
    Sending,
    /// Is refused or closed already.
    Closing,
};

/// What is held for one connection.
struct MemoryHolding {
    std::size_t bytes { 0 };
    HoldingPhase phase { HoldingPhase::Idle };
    /// When the phase began, or when the client had sent or read another minimumProgressBytes in it.
    Core::MonotonicTime progressAt {};
    std::size_t bytesSinceProgress { 0 };
    /// Whether the connection has not sent any byte yet.
    bool isNew { true };
    /// Since when the connection has not been idle, waiting for its client's next request.
    Core::MonotonicTime busySince {};
    /// Whether the connection was closed for another one and only its task has not ended yet.
    bool isClosed { false };
};

/// Limits on what a process holds for its clients. The defaults limit nothing.
struct MemoryBudgetLimits {
    std::size_t bytes { SIZE_MAX };
    /// The part of `bytes` that only holdings up to smallHoldingBytes may use.
    std::size_t smallHoldingsReserve { 0 };
    std::size_t connections { SIZE_MAX };
    /// What the system may have received for one connection before it is read; 0 for what the system allows.
    std::size_t receiveQueueBytes { 0 };
    /// How long a connection that makes progress keeps its place if all are used and none makes no progress.
    Core::Duration protectedTime { std::chrono::seconds(2) };
    /// Responses that may wait for room. Each keeps a connection to a server meanwhile.
    std::size_t waitingResponses { SIZE_MAX };

    bool operator==(MemoryBudgetLimits const&) const = default;
};

/// What all connections hold together.
struct MemoryUse {
    std::size_t bytes { 0 };
    /// Of the holdings above smallHoldingBytes.
    std::size_t bytesOfLargeHoldings { 0 };
};

/// Of an idle connection: its coroutine, buffers and timers (7 KB measured).
inline constexpr std::size_t connectionBytes = 8 * 1024;
/// Enough for a head of 16 KB with its copies, or for a short body.
inline constexpr std::size_t smallHoldingBytes = 64 * 1024;
/// What a client must send or read to count as one that makes progress.
inline constexpr std::size_t minimumProgressBytes = 4 * 1024;
/// A client that makes no progress for this time yields first. A request of ordinary size arrives in less.
inline constexpr std::chrono::milliseconds stallTime { 500 };

/// A client that reads nothing of its response for this time has probably gone. Callers that are only late begin to read within it.
inline constexpr std::chrono::seconds unreadResponseTime { 5 };

/// Derives the limits from the host: half of its memory, a quarter of that for small holdings, and connections for three quarters of the
/// descriptors (at most 3,000), whose fixed cost must fit into half of the budget. What the system has received for all of them takes at most
/// three sixteenths of the memory. Thread safe.
[[nodiscard]] MemoryBudgetLimits memoryBudgetLimits(std::size_t hostMemoryBytes, std::size_t descriptors);

/// The limits of a process that listens at several addresses, with a budget for each, so that a crowd at one takes nothing from the others.
struct ProcessLimits {
    /// For the address of the clients.
    MemoryBudgetLimits clients;
    /// For each of the other addresses. Their exchanges are short, so that nothing is protected: a newcomer always gets a connection.
    MemoryBudgetLimits other;
    /// Connections to servers. A host's descriptors are enough for these, all clients and what the process needs beside them.
    std::size_t serverConnections { SIZE_MAX };

    bool operator==(ProcessLimits const&) const = default;
};

/// Divides the limits of the host. Precondition: there are at most eight other addresses. Thread safe.
[[nodiscard]] ProcessLimits processLimits(std::size_t hostMemoryBytes, std::size_t descriptors, std::size_t otherAddresses);

enum class BudgetDecision {
    Fits,
    /// Holdings above smallHoldingBytes use up their part.
    LargeHoldingsExhausted,
    Exhausted,
};

/// Decides whether a holding can grow. Answers crowds that send large bodies up to their last byte: large holdings leave a reserve for
/// requests of ordinary size. The only large holding always fits, so that any request within the limits is served in calm. Thread safe.
[[nodiscard]] BudgetDecision decideGrowth(MemoryBudgetLimits const&, MemoryUse const&, MemoryHolding const&, std::size_t newBytes);

/// Chooses the holding that yields so that another one can grow to `newBytes`, or nothing if none is to yield. Answers crowds that stop within
/// their requests or do not read: of the clients without progress, the one that holds most yields. A response that is not read yields to a
/// large holding only after unreadResponseTime, since the other client loses less by waiting or coming back. To a small request also the
/// largest request that is still being received yields. A request that its handler has seen never yields. Thread safe.
[[nodiscard]] std::optional<std::size_t> chooseYielding(std::span<MemoryHolding const* const>, MemoryHolding const& growing, std::size_t newBytes, BudgetDecision, Core::MonotonicTime now);

/// Chooses the connection that is closed so that another one can be accepted, or nothing. Answers crowds that cost little memory but a
/// descriptor each: unfinished requests without progress come first, then connections that have sent nothing, responses that have not been read for
/// unreadResponseTime, connections that are idle, and responses that are not read. Of each kind, the one with the oldest progress is chosen. Without any, it is the
/// connection that has been busy for longest, if that is more than the protected time. A request in progress never yields. Thread safe.
[[nodiscard]] std::optional<std::size_t> chooseConnectionToClose(std::span<MemoryHolding const* const>, Core::Duration protectedTime, Core::MonotonicTime now);

/// What a connection must give up.
enum class YieldScope {
    /// The memory; the client may still get a refusal.
    Memory,
    /// The connection with its descriptor, at once.
    Connection,
};

class MemoryHolder;

/// The memory that a process holds for its clients, over all connections of all servers that share the budget. Used from the runtime's thread
/// only.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
public:
    /// Why a client was refused, for metrics: `no_memory`, `unfinished_request`, `unread_response`, `idle_connection` or `connection_refused`.
    using RefusalCallback = std::function<void(std::string_view reason)>;

    /// Precondition: the runtime outlives all connections' tasks.
    explicit MemoryBudget(Core::Runtime&, MemoryBudgetLimits const& = {});

    void setLimits(MemoryBudgetLimits const& limits) { m_limits = limits; }
    void onRefusal(RefusalCallback callback) { m_onRefusal = std::move(callback); }

    [[nodiscard]] MemoryUse const& use() const { return m_use; }
    [[nodiscard]] MemoryBudgetLimits const& limits() const { return m_limits; }

    /// Bytes that connections have released so far.
    [[nodiscard]] std::uint64_t releasedBytes() const { return m_releasedBytes; }

    /// Responses that wait until there is room for them.
    [[nodiscard]] std::size_t waitingResponses() const { return m_waiting.size(); }

    /// The number of open connections.
    [[nodiscard]] std::size_t connections() const { return m_holders.size() - m_closedHolders; }

    /// Whether another connection may be accepted; closes one for it if there are too many.
    [[nodiscard]] bool admitConnection();

    /// Closes one connection as chooseConnectionToClose() does, if there is one. For a process without descriptors.
    bool closeConnection();

private:
    friend class MemoryHolder;

    /// A response that is held once there is room.
    struct WaitingResponse {
        MemoryHolder& holder;
        std::size_t bytes { 0 };
        bool isGranted { false };
    };

    void add(MemoryHolder&);
    void remove(MemoryHolder&);
    /// Lets others yield until the holding can grow. Returns false if it cannot.
    bool makeRoom(MemoryBudgetLimits const&, MemoryHolding const&, std::size_t newBytes);
    [[nodiscard]] MemoryBudgetLimits limitsOf(WaitingResponse const&) const;
    void yield(std::size_t index, YieldScope);
    /// Whether a holding may yield before what earlier ones yielded is free.
    [[nodiscard]] bool mayYield(std::size_t index) const;
    /// Grants the responses that wait and fit now, in their order.
    void grantWaiting();
    void countRefusal(std::string_view reason) const;
    void count(MemoryHolding const&, std::size_t newBytes);

    Core::Runtime& m_runtime;
    MemoryBudgetLimits m_limits;
    MemoryUse m_use;
    std::uint64_t m_releasedBytes { 0 };
    RefusalCallback m_onRefusal;
    /// Parallel: a holder and its holding have the same index.
    std::vector<MemoryHolder*> m_holders;
    std::vector<MemoryHolding const*> m_holdings;
    /// Those whose connection was closed for another one.
    std::size_t m_closedHolders { 0 };
    std::deque<WaitingResponse*> m_waiting;
    /// What holdings have yielded and their tasks have not freed yet.
    std::size_t m_unfreedBytes { 0 };
    /// While others yield for one holding, what they release is not granted to others.
    bool m_isMakingRoom { false };
    /// Notified when a waiting response was granted.
    Core::AsyncEvent m_granted;
};

/// The account of one connection. Used from the runtime's thread only.
class MemoryHolder {
public:
    /// The callback releases what the connection holds: the memory of a body at once, the remainder as soon as its task continues. Returns the
    /// bytes of the body.
    using YieldCallback = std::function<std::size_t(YieldScope)>;

    MemoryHolder(std::shared_ptr<MemoryBudget>, YieldCallback onYield);
    ~MemoryHolder();
    MemoryHolder(MemoryHolder const&) = delete;
    MemoryHolder& operator=(MemoryHolder const&) = delete;

    /// Sets what is held for the request, including the connection itself. Returns false, with the holding unchanged, if the budget does not
    /// allow it.
    [[nodiscard]] bool resizeRequest(std::size_t bytes);

    /// The same for the response.
    [[nodiscard]] bool resizeResponse(std::size_t bytes);

    /// The same, but unless too many wait already, waits for room until the deadline or until `isCancelled` returns true, behind the responses that wait already unless it holds a
    /// part. Of those that do not read their response, only clients that have probably gone yield for it. Precondition: the holder outlives
    /// the wait.
    [[nodiscard]] Core::Awaitable<bool> awaitResponse(std::size_t bytes, Core::MonotonicTime deadline, std::function<bool()> isCancelled);

    /// The same for a response that must be sent, whether the budget allows it or not.
    void forceResponse(std::size_t bytes);

    void beginPhase(HoldingPhase);
    /// For a client that has sent its next request before the response to the last one: its connection counts as busy all the time.
    void beginRequestSentAhead();
    /// Returns to an earlier phase. Unlike beginPhase(), may be called after the end of the runtime.
    void resumePhase(HoldingPhase phase) { m_holding.phase = phase; }
    [[nodiscard]] HoldingPhase phase() const { return m_holding.phase; }

    /// Records bytes that the client has sent or read.
    void recordProgress(std::size_t bytes);

    /// Whether a resize may succeed as soon as the tasks of others have continued.
    [[nodiscard]] bool isRoomBeingFreed() const { return m_budget->m_unfreedBytes > 0; }

    /// Whether less than half of the budget is used with so many more bytes.
    [[nodiscard]] bool hasSpareRoom(std::size_t bytes) const;
    [[nodiscard]] std::size_t bytes() const { return m_holding.bytes; }
    [[nodiscard]] MemoryBudgetLimits const& limits() const { return m_budget->limits(); }

private:
    friend class MemoryBudget;

    bool resize(std::size_t& part, std::size_t bytes);
    void setBytes(std::size_t bytes);
    void setResponse(std::size_t bytes);
    /// Called once the task of a holding that has yielded continues.
    void recordFreed();

    std::shared_ptr<MemoryBudget> m_budget;
    YieldCallback m_onYield;
    MemoryHolding m_holding;
    std::size_t m_requestBytes { 0 };
    std::size_t m_responseBytes { 0 };
    /// Of what was yielded.
    std::size_t m_unfreedBytes { 0 };
    std::size_t m_index { 0 };
    /// Whether the refusal of the request in progress has been counted.
    bool m_isRefusalCounted { false };
};

}
