#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Core {

namespace asio = boost::asio;

template <typename T>
using Awaitable = asio::awaitable<T>;

using Duration = std::chrono::steady_clock::duration;
using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// A pending callback of Runtime::callAt(). Destroying it cancels the callback.
/// May outlive its Runtime: tasks that never end are destroyed with the io_context, after the Runtime.
class Timer {
public:
    Timer() = default;
    Timer(Timer&&) noexcept;
    Timer& operator=(Timer&&) noexcept;
    ~Timer();

    /// Cancels the callback if it has not run. Only from the runtime's thread.
    void cancel();

private:
    friend class Runtime;
    using Key = std::pair<MonotonicTime, std::uint64_t>;
    using Callbacks = std::map<Key, std::function<void()>>;

    Timer(std::weak_ptr<Callbacks>, Key);

    std::weak_ptr<Callbacks> m_callbacks;
    Key m_key {};
};

/// The event loop's clock, timers and tasks. Tests pause the clock and advance it explicitly.
/// All methods are called on the thread that runs the io_context, unless stated otherwise.
class Runtime {
public:
    explicit Runtime(asio::io_context&);
    Runtime(Runtime const&) = delete;
    Runtime& operator=(Runtime const&) = delete;

    [[nodiscard]] asio::io_context& context() { return m_context; }

    /// The monotonic time; constant while the clock is paused.
    [[nodiscard]] MonotonicTime now() const;

    /// The wall-clock time; follows now() while the clock is paused.
    [[nodiscard]] WallTime wallNow() const;

    /// Runs the callback from the event loop once now() has reached the time.
    [[nodiscard]] Timer callAt(MonotonicTime, std::function<void()> callback);

    /// Suspends the calling coroutine until now() has reached the time.
    [[nodiscard]] Awaitable<void> sleepUntil(MonotonicTime);

    /// Suspends the calling coroutine for a duration of the runtime's clock.
    [[nodiscard]] Awaitable<void> sleepFor(Duration);

    /// Starts a detached task. An exception that escapes it is logged and ends only this task.
    void spawn(Awaitable<void>);

    /// Queues a function for the event loop. Thread safe.
    void post(std::function<void()>);

    /// Pauses the clock; it cannot be resumed. Precondition: not paused.
    void pause();

    /// Advances a paused clock and queues the callbacks that are due, ordered by time.
    /// Precondition: paused.
    void advance(Duration);

private:
    void postDueCallbacks();
    void armWakeUp();
    void runDueCallbacks();

    asio::io_context& m_context;
    asio::steady_timer m_wakeUpTimer;
    std::shared_ptr<Timer::Callbacks> m_callbacks;
    std::uint64_t m_nextSequence { 0 };
    std::optional<MonotonicTime> m_pausedAt;
};

/// A one-shot or repeated notification between coroutines of one runtime. Not thread safe.
class AsyncEvent {
public:
    explicit AsyncEvent(Runtime&);

    /// Wakes every coroutine that is currently waiting.
    void notifyAll();

    /// Waits for the next notifyAll() or the deadline. Returns false if the deadline came first.
    /// Precondition: the event outlives the wait.
    [[nodiscard]] Awaitable<bool> waitUntil(MonotonicTime deadline);

private:
    Runtime& m_runtime;
    asio::steady_timer m_signal;
    std::uint64_t m_generation { 0 };
};

}
