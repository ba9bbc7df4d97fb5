#include <LibPeer/KjThread.h>

#include <LibCore/Log.h>

namespace Peer {

std::string describe(kj::Exception const& exception)
{
    return exception.getDescription().cStr();
}

KjThread::KjThread()
    : m_thread([this] { run(); })
{
}

KjThread::~KjThread()
{
    stop([](kj::AsyncIoContext&) {});
}

void KjThread::post(Function function)
{
    std::lock_guard const lock(m_mutex);
    if (m_stopped)
        return;
    m_queue.push_back(kj::mv(function));
    if (m_wakeUp.get())
        m_wakeUp->fulfill();
}

void KjThread::stop(Function finalFunction)
{
    {
        std::lock_guard const lock(m_mutex);
        if (m_stopped)
            return;
        m_queue.push_back(kj::mv(finalFunction));
        m_stopped = true;
        if (m_wakeUp.get())
            m_wakeUp->fulfill();
    }
    m_thread.join();
}

void KjThread::run()
{
    auto io = kj::setupAsyncIo();
    while (true) {
        std::vector<Function> functions;
        bool stopped = false;
        auto wakeUp = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            std::lock_guard const lock(m_mutex);
            functions.swap(m_queue);
            stopped = m_stopped;
            m_wakeUp = kj::mv(wakeUp.fulfiller);
        }
        for (auto& function : functions) {
            auto const exception = kj::runCatchingExceptions([&] { function(io); });
            KJ_IF_MAYBE (error, exception)
                Core::logEvent(Core::LogLevel::Error, "peer_task_failed", { { "error", describe(*error) } });
        }
        if (stopped)
            break;
        auto const exception = kj::runCatchingExceptions([&] { wakeUp.promise.wait(io.waitScope); });
        KJ_IF_MAYBE (error, exception)
            Core::logEvent(Core::LogLevel::Error, "peer_loop_failed", { { "error", describe(*error) } });
    }
    std::lock_guard const lock(m_mutex);
    m_wakeUp = nullptr;
}

}
