#include <LibHTTP/MemoryBudget.h>

#include <algorithm>

namespace HTTP {

// Of 4,100 descriptors of a host; the remainder is for files, servers, other nodes and the store. Below the limit of a server
// (ServerLimits::maximumConnections), which refuses new connections without closing another one.
static constexpr std::size_t maximumConnections = 3000;

static std::size_t connectionsThatFit(std::size_t bytes)
{
    return bytes / connectionBytes;
}

MemoryBudgetLimits memoryBudgetLimits(std::size_t hostMemoryBytes, std::size_t descriptors)
{
    // A window of one TCP connection without scaling; longer queues only help bodies, for which they are widened.
    static constexpr std::size_t maximumReceiveQueueBytes = 64 * 1024;
    // The remainder is for the program and its tables (13 MB idle, at most 64 MB), and for what the allocator keeps.
    auto const bytes = hostMemoryBytes / 2;
    // A request takes a second descriptor for its server; the store and the other nodes need some as well.
    auto const connections = std::max<std::size_t>(std::min({ maximumConnections, descriptors - descriptors / 4, connectionsThatFit(bytes / 2) }), 1);
    auto const receivedBytes = hostMemoryBytes / 16 * 3;
    return { .bytes = bytes, .smallHoldingsReserve = bytes / 4, .connections = connections, .receiveQueueBytes = std::min(receivedBytes / connections, maximumReceiveQueueBytes) };
}

ProcessLimits processLimits(std::size_t hostMemoryBytes, std::size_t descriptors, std::size_t otherAddresses)
{
    auto const host = memoryBudgetLimits(hostMemoryBytes, descriptors);
    ProcessLimits limits { .clients = host, .other = host };
    limits.other.protectedTime = Core::Duration::zero();
    limits.other.bytes = hostMemoryBytes / 32;
    limits.other.smallHoldingsReserve = limits.other.bytes / 4;
    limits.other.connections = std::max<std::size_t>(std::min(host.connections / 16, connectionsThatFit(limits.other.bytes / 4)), 1);
    limits.clients.connections -= std::min(otherAddresses * limits.other.connections, host.connections - 1);
    // For files, the store, other nodes and the listening sockets.
    auto const otherDescriptors = std::max<std::size_t>(descriptors / 16, 32);
    // Most connections to servers are left to requests whose responses need not wait.
    static constexpr std::size_t waitingFraction = 4;
    limits.serverConnections = std::max<std::size_t>(descriptors - std::min(descriptors, host.connections + otherDescriptors), 1);
    limits.clients.waitingResponses = std::max<std::size_t>(limits.serverConnections / waitingFraction, 1);
    return limits;
}

// A client that is closed for another one has sent nothing for this time. The head of an ordinary request arrives in less.
static constexpr std::chrono::milliseconds unfinishedTime { 100 };

static bool isLarge(std::size_t bytes)
{
    return bytes > smallHoldingBytes;
}

BudgetDecision decideGrowth(MemoryBudgetLimits const& limits, MemoryUse const& use, MemoryHolding const& holding, std::size_t newBytes)
{
    auto const bytesOfOthers = use.bytes - holding.bytes;
    if (!isLarge(newBytes))
        return newBytes <= limits.bytes && bytesOfOthers <= limits.bytes - newBytes ? BudgetDecision::Fits : BudgetDecision::Exhausted;
    auto const largeBytesOfOthers = use.bytesOfLargeHoldings - (isLarge(holding.bytes) ? holding.bytes : 0);
    if (largeBytesOfOthers == 0)
        return BudgetDecision::Fits;
    auto const limitOfLarge = limits.bytes - limits.smallHoldingsReserve;
    if (newBytes > limitOfLarge || largeBytesOfOthers > limitOfLarge - newBytes)
        return BudgetDecision::LargeHoldingsExhausted;
    return bytesOfOthers <= limits.bytes - newBytes ? BudgetDecision::Fits : BudgetDecision::Exhausted;
}

// Whether a holding that makes no progress yields.
static bool yieldsWhenStalled(MemoryHolding const& holding, std::size_t newBytes, Core::MonotonicTime now)
{
    bool const isProtected = holding.phase == HoldingPhase::Sending && isLarge(newBytes);
    return now - holding.progressAt >= (isProtected ? Core::Duration(unreadResponseTime) : Core::Duration(stallTime));
}

std::optional<std::size_t> chooseYielding(std::span<MemoryHolding const* const> holdings, MemoryHolding const& growing, std::size_t newBytes, BudgetDecision decision, Core::MonotonicTime now)
{
    std::optional<std::size_t> chosen;
    bool isChosenStalled = false;
    for (std::size_t i = 0; i < holdings.size(); ++i) {
        auto const& holding = *holdings[i];
        if (&holding == &growing || (holding.phase != HoldingPhase::Receiving && holding.phase != HoldingPhase::Sending))
            continue;
        if (holding.bytes <= 2 * connectionBytes || (decision == BudgetDecision::LargeHoldingsExhausted && !isLarge(holding.bytes)))
            continue;
        bool const stalled = yieldsWhenStalled(holding, newBytes, now);
        bool const yieldsToSmall = !isLarge(newBytes) && holding.phase == HoldingPhase::Receiving && holding.bytes > 2 * newBytes;
        if (!stalled && !yieldsToSmall)
            continue;
        bool const isBetter = !chosen || (stalled != isChosenStalled ? stalled : holding.bytes > holdings[*chosen]->bytes);
        if (!isBetter)
            continue;
        chosen = i;
        isChosenStalled = stalled;
    }
    return chosen;
}

namespace {

// Why a connection can be closed for another one, in the order in which connections are.
enum class ClosingReason {
    Unfinished,
    Silent,
    UnreadForLong,
    Idle,
    Unread,
    /// It makes progress, but has been busy for longer than the protected time.
    Busy,
};

}

// Whether a connection that makes progress keeps its place. A stream whose client reads is in the phase Sending for moments only.
static bool isProtected(MemoryHolding const& holding, Core::Duration protectedTime, Core::MonotonicTime now)
{
    if (holding.phase == HoldingPhase::Running || now - holding.busySince < protectedTime)
        return true;
    return protectedTime > Core::Duration::zero() && holding.phase == HoldingPhase::Sending && now - holding.progressAt < unfinishedTime;
}

// Returns nothing if the connection is not closed for another one.
static std::optional<ClosingReason> closingReason(MemoryHolding const& holding, Core::Duration protectedTime, Core::MonotonicTime now)
{
    // A client may be about to use a connection that has been idle for a shorter time.
    static constexpr std::chrono::seconds minimumIdleTime { 1 };
    if (holding.isClosed)
        return std::nullopt;
    auto const age = now - holding.progressAt;
    bool const isUnfinished = holding.phase == HoldingPhase::Receiving || holding.phase == HoldingPhase::Closing;
    if (isUnfinished && age >= unfinishedTime)
        return ClosingReason::Unfinished;
    if (holding.phase == HoldingPhase::Sending && age >= stallTime)
        return age >= unreadResponseTime ? ClosingReason::UnreadForLong : ClosingReason::Unread;
    if (holding.phase == HoldingPhase::Idle && holding.isNew && age >= stallTime)
        return ClosingReason::Silent;
    if (holding.phase == HoldingPhase::Idle && age >= minimumIdleTime)
        return ClosingReason::Idle;
    return isProtected(holding, protectedTime, now) ? std::nullopt : std::optional(ClosingReason::Busy);
}

std::optional<std::size_t> chooseConnectionToClose(std::span<MemoryHolding const* const> holdings, Core::Duration protectedTime, Core::MonotonicTime now)
{
    std::optional<std::size_t> chosen;
    std::pair<ClosingReason, Core::MonotonicTime> best;
    for (std::size_t i = 0; i < holdings.size(); ++i) {
        auto const& holding = *holdings[i];
        auto const reason = closingReason(holding, protectedTime, now);
        if (!reason)
            continue;
        std::pair const candidate { *reason, *reason == ClosingReason::Busy ? holding.busySince : holding.progressAt };
        if (chosen && candidate >= best)
            continue;
        chosen = i;
        best = candidate;
    }
    return chosen;
}

MemoryBudget::MemoryBudget(Core::Runtime& runtime, MemoryBudgetLimits const& limits)
    : m_runtime(runtime)
    , m_limits(limits)
    , m_granted(runtime)
{
}

void MemoryBudget::countRefusal(std::string_view reason) const
{
    if (m_onRefusal)
        m_onRefusal(reason);
}

bool MemoryBudget::admitConnection()
{
    if (connections() < m_limits.connections || closeConnection())
        return true;
    countRefusal("connection_refused");
    return false;
}

bool MemoryBudget::closeConnection()
{
    auto const index = chooseConnectionToClose(m_holdings, m_limits.protectedTime, m_runtime.now());
    if (!index)
        return false;
    yield(*index, YieldScope::Connection);
    grantWaiting();
    return true;
}

void MemoryBudget::add(MemoryHolder& holder)
{
    holder.m_index = m_holders.size();
    m_holders.push_back(&holder);
    m_holdings.push_back(&holder.m_holding);
}

void MemoryBudget::remove(MemoryHolder& holder)
{
    holder.recordFreed();
    m_closedHolders -= holder.m_holding.isClosed ? 1 : 0;
    count(holder.m_holding, 0);
    auto const index = holder.m_index;
    m_holders[index] = m_holders.back();
    m_holdings[index] = m_holdings.back();
    m_holders[index]->m_index = index;
    m_holders.pop_back();
    m_holdings.pop_back();
}

void MemoryBudget::count(MemoryHolding const& holding, std::size_t newBytes)
{
    m_use.bytes += newBytes - holding.bytes;
    if (newBytes < holding.bytes)
        m_releasedBytes += holding.bytes - newBytes;
    if (isLarge(holding.bytes))
        m_use.bytesOfLargeHoldings -= holding.bytes;
    if (isLarge(newBytes))
        m_use.bytesOfLargeHoldings += newBytes;
}

bool MemoryBudget::makeRoom(MemoryBudgetLimits const& limits, MemoryHolding const& holding, std::size_t newBytes)
{
    m_isMakingRoom = true;
    auto decision = decideGrowth(limits, m_use, holding, newBytes);
    while (decision != BudgetDecision::Fits) {
        auto const index = chooseYielding(m_holdings, holding, newBytes, decision, m_runtime.now());
        if (!index || !mayYield(*index))
            break;
        yield(*index, YieldScope::Memory);
        decision = decideGrowth(limits, m_use, holding, newBytes);
    }
    m_isMakingRoom = false;
    if (decision != BudgetDecision::Fits)
        grantWaiting();
    return decision == BudgetDecision::Fits;
}

// Leaves room for requests that arrive meanwhile, whose clients cannot wait as well as a server can, and for a response that is held in part and
// needs the rest. One that has been granted all it needs ends by itself, so that the next one gets that room.
MemoryBudgetLimits MemoryBudget::limitsOf(WaitingResponse const& waiting) const
{
    static constexpr std::size_t bytesOfALargeResponse = 4 * 1024 * 1024;
    auto limits = m_limits;
    auto const limitOfLarge = limits.bytes - limits.smallHoldingsReserve;
    if (waiting.holder.m_responseBytes == 0)
        limits.smallHoldingsReserve += std::max(limitOfLarge / 8, std::min(limitOfLarge / 4, bytesOfALargeResponse));
    return limits;
}

void MemoryBudget::grantWaiting()
{
    if (m_isMakingRoom)
        return;
    while (!m_waiting.empty()) {
        auto& waiting = *m_waiting.front();
        if (decideGrowth(limitsOf(waiting), m_use, waiting.holder.m_holding, waiting.holder.m_requestBytes + waiting.bytes) != BudgetDecision::Fits)
            return;
        m_waiting.pop_front();
        waiting.isGranted = true;
        waiting.holder.setResponse(waiting.bytes);
        m_granted.notifyAll();
    }
}

bool MemoryBudget::mayYield(std::size_t index) const
{
    // Otherwise a crowd in which each request displaces another holds its memory twice.
    return m_unfreedBytes == 0 || m_unfreedBytes + m_holdings[index]->bytes <= m_limits.bytes / 8;
}

void MemoryBudget::yield(std::size_t index, YieldScope scope)
{
    auto& holder = *m_holders[index];
    switch (holder.m_holding.phase) {
    case HoldingPhase::Idle:
        countRefusal("idle_connection");
        break;
    case HoldingPhase::Sending:
        countRefusal("unread_response");
        // A response that is not read cannot be replaced by a refusal.
        scope = YieldScope::Connection;
        break;
    default:
        countRefusal("unfinished_request");
    }
    holder.m_isRefusalCounted = true;
    auto const bytesBefore = holder.m_holding.bytes;
    holder.m_requestBytes = connectionBytes;
    holder.m_responseBytes = 0;
    holder.setBytes(connectionBytes);
    // It must not be chosen again before its task continues.
    holder.beginPhase(HoldingPhase::Closing);
    if (scope == YieldScope::Connection && !std::exchange(holder.m_holding.isClosed, true))
        ++m_closedHolders;
    auto const freedBytes = connectionBytes + holder.m_onYield(scope);
    holder.m_unfreedBytes = bytesBefore - std::min(bytesBefore, freedBytes);
    m_unfreedBytes += holder.m_unfreedBytes;
}

MemoryHolder::MemoryHolder(std::shared_ptr<MemoryBudget> budget, YieldCallback onYield)
    : m_budget(std::move(budget))
    , m_onYield(std::move(onYield))
    , m_requestBytes(connectionBytes)
{
    m_budget->add(*this);
    setBytes(connectionBytes);
    beginPhase(HoldingPhase::Idle);
}

MemoryHolder::~MemoryHolder()
{
    m_budget->remove(*this);
    m_budget->grantWaiting();
}

void MemoryHolder::setBytes(std::size_t bytes)
{
    m_budget->count(m_holding, bytes);
    m_holding.bytes = bytes;
}

bool MemoryHolder::resize(std::size_t& part, std::size_t bytes)
{
    recordFreed();
    auto const total = m_requestBytes + m_responseBytes - part + bytes;
    bool const hasRoom = bytes <= part || m_budget->makeRoom(m_budget->limits(), m_holding, total);
    if (!hasRoom) {
        // Otherwise the caller tries again.
        if (!isRoomBeingFreed() && !std::exchange(m_isRefusalCounted, true))
            m_budget->countRefusal("no_memory");
        return false;
    }
    part = bytes;
    setBytes(total);
    m_budget->grantWaiting();
    return true;
}

void MemoryHolder::setResponse(std::size_t bytes)
{
    m_responseBytes = bytes;
    setBytes(m_requestBytes + m_responseBytes);
}

bool MemoryHolder::resizeRequest(std::size_t bytes)
{
    return resize(m_requestBytes, bytes);
}

bool MemoryHolder::resizeResponse(std::size_t bytes)
{
    return resize(m_responseBytes, bytes);
}

Core::Awaitable<bool> MemoryHolder::awaitResponse(std::size_t bytes, Core::MonotonicTime deadline, std::function<bool()> isCancelled)
{
    // Of the search for clients that have gone, and for a wait that is cancelled.
    static constexpr std::chrono::milliseconds checkInterval { 100 };
    if (bytes <= m_responseBytes)
        co_return resize(m_responseBytes, bytes);
    auto const budget = m_budget;
    // Does not wait behind long ones.
    if (!isLarge(m_requestBytes + bytes) && budget->makeRoom(budget->limits(), m_holding, m_requestBytes + bytes)) {
        setResponse(bytes);
        co_return true;
    }
    if (budget->m_waiting.size() >= budget->m_limits.waitingResponses)
        co_return false;
    MemoryBudget::WaitingResponse waiting { *this, bytes };
    if (m_responseBytes > 0)
        budget->m_waiting.push_front(&waiting);
    else
        budget->m_waiting.push_back(&waiting);
    // Also if the task is destroyed.
    struct Scope {
        ~Scope() { std::erase(budget.m_waiting, &waiting); }
        MemoryBudget& budget;
        MemoryBudget::WaitingResponse& waiting;
    } const scope { *budget, waiting };
    budget->grantWaiting();
    while (!waiting.isGranted && !isCancelled() && budget->m_runtime.now() < deadline) {
        if (budget->m_waiting.front() == &waiting && budget->makeRoom(budget->limitsOf(waiting), m_holding, m_requestBytes + bytes)) {
            budget->grantWaiting();
            break;
        }
        (void)co_await budget->m_granted.waitUntil(std::min(deadline, budget->m_runtime.now() + checkInterval));
    }
    co_return waiting.isGranted;
}

void MemoryHolder::forceResponse(std::size_t bytes)
{
    if (!resize(m_responseBytes, bytes))
        setResponse(bytes);
}

void MemoryHolder::recordFreed()
{
    m_budget->m_unfreedBytes -= std::exchange(m_unfreedBytes, 0);
}

void MemoryHolder::beginPhase(HoldingPhase phase)
{
    recordFreed();
    if (phase == HoldingPhase::Receiving)
        m_isRefusalCounted = false;
    if (phase == HoldingPhase::Idle)
        m_holding.busySince = m_budget->m_runtime.now();
    m_holding.phase = phase;
    m_holding.isNew = m_holding.isNew && phase == HoldingPhase::Idle;
    m_holding.progressAt = m_budget->m_runtime.now();
    m_holding.bytesSinceProgress = 0;
}

void MemoryHolder::beginRequestSentAhead()
{
    auto const busySince = m_holding.busySince;
    beginPhase(HoldingPhase::Idle);
    m_holding.busySince = busySince;
}

void MemoryHolder::recordProgress(std::size_t bytes)
{
    m_holding.bytesSinceProgress += bytes;
    if (m_holding.bytesSinceProgress < minimumProgressBytes)
        return;
    m_holding.progressAt = m_budget->m_runtime.now();
    m_holding.bytesSinceProgress = 0;
}

bool MemoryHolder::hasSpareRoom(std::size_t bytes) const
{
    auto const half = m_budget->m_limits.bytes / 2;
    return bytes <= half && m_budget->m_use.bytes <= half - bytes;
}

}
