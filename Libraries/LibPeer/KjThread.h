#pragma once

#include <kj/async-io.h>
#include <kj/function.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Peer {

/// Runs KJ's event loop on a dedicated thread. Functions are passed to it through a queue that wakes the loop.
class KjThread {
public:
    using Function = kj::Function<void(kj::AsyncIoContext&)>;

    KjThread();
    KjThread(KjThread const&) = delete;
    KjThread& operator=(KjThread const&) = delete;
    ~KjThread();

    /// Queues a function for the KJ thread. Functions posted after stop() are destroyed without being called. Thread safe.
    void post(Function);

    /// Runs a final function on the KJ thread, which must release everything that belongs to the loop, and joins the thread.
    /// Later calls do nothing. Must not be called from the KJ thread.
    void stop(Function finalFunction);

private:
    void run();

    std::mutex m_mutex;
    std::vector<Function> m_queue;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wakeUp;
    bool m_stopped { false };
    std::thread m_thread;
};

/// The text of a KJ exception without file and line. Thread safe.
[[nodiscard]] std::string describe(kj::Exception const&);

}
