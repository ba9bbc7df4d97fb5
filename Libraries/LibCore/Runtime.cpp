#include <LibCore/Runtime.h>

#include <LibCore/Log.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

namespace Core {

Timer::Timer(std::weak_ptr<Callbacks> callbacks, Key key)
    : m_callbacks(std::move(callbacks))
    , m_key(key)
{
}

Timer::Timer(Timer&& other) noexcept
    : m_callbacks(std::move(other.m_callbacks))
    , m_key(std::move(other.m_key))
{
}

Timer& Timer::operator=(Timer&& other) noexcept
{
    if (this == &other)
        return *this;
    cancel();
    m_callbacks = std::move(other.m_callbacks);
    m_key = other.m_key;
    return *this;
}

Timer::~Timer()
{
    cancel();
}

void Timer::cancel()
{
    if (auto const callbacks = m_callbacks.lock())
        callbacks->erase(m_key);
    m_callbacks.reset();
}

Runtime::Runtime(asio::io_context& context)
    : m_context(context)
    , m_wakeUpTimer(context)
    , m_callbacks(std::make_shared<Timer::Callbacks>())
{
}

MonotonicTime Runtime::now() const
{
    return m_pausedAt.value_or(std::chrono::steady_clock::now());
}

WallTime Runtime::wallNow() const
{
    auto const offset = now() - std::chrono::steady_clock::now();
    return std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::system_clock::duration>(offset);
}

Timer Runtime::callAt(MonotonicTime time, std::function<void()> callback)
{
    Timer::Key const key { time, m_nextSequence++ };
    m_callbacks->emplace(key, std::move(callback));
    if (m_callbacks->begin()->first == key)
        armWakeUp();
    return { m_callbacks, key };
}

Awaitable<void> Runtime::sleepUntil(MonotonicTime time)
{
    asio::steady_timer signal(m_context, asio::steady_timer::time_point::max());
    auto timer = callAt(time, [&signal] { signal.cancel(); });
    co_await signal.async_wait(asio::as_tuple(asio::use_awaitable));
}

Awaitable<void> Runtime::sleepFor(Duration duration)
{
    return sleepUntil(now() + duration);
}

void Runtime::spawn(Awaitable<void> task)
{
    asio::co_spawn(m_context, std::move(task), [](std::exception_ptr const& exception) {
        if (!exception)
            return;
        try {
            std::rethrow_exception(exception);
        } catch (std::exception const& exception) {
            logEvent(LogLevel::Error, "task_failed", { { "error", exception.what() } });
        }
    });
}

void Runtime::post(std::function<void()> function)
{
    asio::post(m_context, std::move(function));
}

void Runtime::pause()
{
    m_pausedAt = now();
    m_wakeUpTimer.cancel();
}

void Runtime::advance(Duration duration)
{
    *m_pausedAt += duration;
    postDueCallbacks();
}

void Runtime::postDueCallbacks()
{
    post([this, weak = std::weak_ptr(m_callbacks)] {
        if (!weak.expired())
            runDueCallbacks();
    });
}

void Runtime::armWakeUp()
{
    if (m_callbacks->empty())
        return;
    auto const due = m_callbacks->begin()->first.first;
    if (m_pausedAt) {
        if (due <= *m_pausedAt)
            postDueCallbacks();
        return;
    }
    m_wakeUpTimer.expires_at(due);
    m_wakeUpTimer.async_wait([this, weak = std::weak_ptr(m_callbacks)](boost::system::error_code errorCode) {
        if (!errorCode && !weak.expired())
            runDueCallbacks();
    });
}

void Runtime::runDueCallbacks()
{
    auto& callbacks = m_callbacks;
    auto const current = now();
    while (!callbacks->empty() && callbacks->begin()->first.first <= current) {
        auto callback = std::move(callbacks->begin()->second);
        callbacks->erase(callbacks->begin());
        callback();
    }
    armWakeUp();
}

AsyncEvent::AsyncEvent(Runtime& runtime)
    : m_runtime(runtime)
    , m_signal(runtime.context(), asio::steady_timer::time_point::max())
{
}

void AsyncEvent::notifyAll()
{
    ++m_generation;
    m_signal.cancel();
}

Awaitable<bool> AsyncEvent::waitUntil(MonotonicTime deadline)
{
    auto const generation = m_generation;
    bool timedOut = false;
    auto timer = m_runtime.callAt(deadline, [this, &timedOut] {
        timedOut = true;
        // Wakes the other waiters too; they see their generation unchanged and wait again.
        m_signal.cancel();
    });
    while (m_generation == generation && !timedOut)
        co_await m_signal.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return m_generation != generation;
}

}
