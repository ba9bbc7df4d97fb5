#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibHTTP/Client.h>
#include <LibHTTP/Message.h>
#include <Support/ChildProcess.h>
#include <exception>
#include <optional>

namespace TestSupport {

/// Sends a request on a new connection and returns the complete response, or nothing and the error. Thread safe.
[[nodiscard]] std::optional<HTTP::Response> blockingCall(Core::Endpoint const&, HTTP::Request, Core::Error&, std::chrono::milliseconds timeout = defaultTestTimeout);

/// An event loop for tests that call asynchronous interfaces. Not thread safe.
class EventLoop {
public:
    [[nodiscard]] Core::Runtime& runtime() { return m_runtime; }

    /// The time at which defaultTestTimeout ends, counted from now.
    [[nodiscard]] Core::MonotonicTime deadline() const { return m_runtime.now() + defaultTestTimeout; }

    /// Runs the loop until the task ends. Returns its result or rethrows its exception.
    template <typename T>
    T run(Core::Awaitable<T> task)
    {
        Outcome<T> outcome;
        m_runtime.spawn(store(std::move(task), outcome));
        while (!outcome.result && !outcome.exception) {
            // A service that has drained stops the loop.
            if (m_context.stopped())
                m_context.restart();
            m_context.run_one();
        }
        if (outcome.exception)
            std::rethrow_exception(outcome.exception);
        return std::move(*outcome.result);
    }

private:
    template <typename T>
    struct Outcome {
        std::optional<T> result;
        std::exception_ptr exception;
    };

    template <typename T>
    static Core::Awaitable<void> store(Core::Awaitable<T> task, Outcome<T>& outcome)
    {
        try {
            outcome.result = co_await std::move(task);
        } catch (...) {
            outcome.exception = std::current_exception();
        }
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
};

}
