#include "Net.h"

// A backend server that follows the users' pages. The path of a request says how long it works: /unsafe/300/ANY works for 300 ms, and
// /stream/50x100/ANY, or another first word, sends 50 events, one each 100 ms.
namespace Review {

namespace {

// Set by SIGUSR1: the platform has announced that it takes the server's machine away.
std::atomic<bool> isLeaving { false };

class Server {
public:
    Server(Record& record, std::string id, std::size_t slots, std::size_t queue)
        : m_record(record)
        , m_id(std::move(id))
        , m_slots(slots)
        , m_queue(queue)
    {
    }

    // Reports `draining` to the store after the announcement, again and again until the store has accepted it.
    void reportLeaving(Address const& store, std::string const& entry) const
    {
        static constexpr Milliseconds interval { 100 };
        static constexpr Milliseconds answerTime { 500 };
        while (!isLeaving)
            std::this_thread::sleep_for(interval);
        m_record.line("server " + m_id + " says that it is leaving");
        auto const body = R"({"metadata":{"name":")" + m_id + R"("},"spec":)" + entry + "}";
        while (true) {
            auto socket = connectTo(store);
            bool const isSent = socket.isOpen() && socket.write("PUT /hyssopstep/objects/servers/" + m_id + " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            if (isSent && readHead(socket, Clock::now() + answerTime))
                break;
            std::this_thread::sleep_for(interval);
        }
        m_record.line("server " + m_id + " has reported to the store that it is draining");
    }

    void serve(Socket socket)
    {
        // The idle timeout that the Keep-Alive header states.
        static constexpr auto idleTimeout = std::chrono::seconds(20);
        while (auto const request = readRequest(socket, Clock::now() + idleTimeout)) {
            auto const id = request->headers.find("X-Hyssopstep-Attempt-Id");
            auto const echoed = "X-Hyssopstep-Attempt-Id: " + id + "\r\nKeep-Alive: timeout=20\r\n";
            auto const expected = request->headers.find("X-Hyssopstep-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                if (!socket.write(responseText("421 Misdirected Request", echoed + "X-Hyssopstep-Instance-Id: " + m_id + "\r\n", "")))
                    return;
                continue;
            }
            auto const parts = splitList(request->path(), '/');
            if (!takeSlot(socket)) {
                m_record.line("server " + m_id + " is full and rejects " + id);
                if (!socket.write(responseText("503 Service Unavailable", echoed + "X-Hyssopstep-Not-Executed: 1\r\n", "")))
                    return;
                continue;
            }
            m_record.line("server " + m_id + " runs " + id + " " + request->target);
            bool const isComplete = parts.at(1) != "unsafe" ? stream(socket, echoed, parts.at(2), std::strtoul(request->headers.find("Last-Event-Id").c_str(), nullptr, 10)) : work(socket, echoed, parts.at(2));
            --m_running;
            m_record.line("server " + m_id + (isComplete ? " finished " : " saw the connection end during ") + id);
            if (!isComplete)
                return;
        }
    }

private:
    // Waits for a slot if the queue has room. Returns false if it has none.
    bool takeSlot(Socket const& socket)
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_slots && m_waiting >= m_queue)
            return false;
        ++m_waiting;
        while (m_running >= m_slots && !socket.isClosedByPeer()) {
            lock.unlock();
            std::this_thread::sleep_for(Milliseconds(5));
            lock.lock();
        }
        --m_waiting;
        ++m_running;
        return true;
    }

    [[nodiscard]] std::string sealed(std::string const& echoed) const { return echoed + "X-Hyssopstep-Server-Seal: " + m_id + ".seal\r\n" + (isLeaving ? "Server-Leaving: 1\r\n" : ""); }

    // Returns false if the connection has ended meanwhile.
    static bool pass(Socket const& socket, Milliseconds time)
    {
        static constexpr Milliseconds step { 10 };
        auto const end = Clock::now() + time;
        while (Clock::now() < end) {
            if (socket.isClosedByPeer())
                return false;
            std::this_thread::sleep_for(std::min<Clock::duration>(step, end - Clock::now()));
        }
        return true;
    }

    [[nodiscard]] bool stream(Socket const& socket, std::string const& echoed, std::string const& plan, std::size_t lastEvent) const
    {
        auto const sizes = splitList(plan, 'x');
        auto const count = std::stoul(sizes.at(0));
        Milliseconds const gap { std::stol(sizes.at(1)) };
        if (!socket.write("HTTP/1.1 200 OK\r\n" + sealed(echoed) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (std::size_t number = lastEvent + 1; number <= count; ++number) {
            auto const event = "id: " + std::to_string(number) + "\ndata: token-" + std::to_string(number) + "\n\n";
            if (!pass(socket, gap) || !socket.write(chunkOf(event)))
                return false;
        }
        return socket.write("0\r\n\r\n");
    }

    [[nodiscard]] bool work(Socket const& socket, std::string const& echoed, std::string const& plan) const
    {
        return pass(socket, Milliseconds(std::stol(plan))) && socket.write(responseText("200 OK", sealed(echoed), "done"));
    }

    Record& m_record;
    std::string m_id;
    std::size_t m_slots;
    std::size_t m_queue;
    std::mutex m_mutex;
    std::size_t m_waiting { 0 };
    std::atomic<std::size_t> m_running { 0 };
};

}

// --listen=IP:PORT --record=FILE --id=ID [--places=SLOTS+QUEUE] [--store=IP:PORT --draining-entry=JSON]. After SIGUSR1 its answers say that it is leaving, and it
// reports the entry to the store.
int runServer(std::map<std::string, std::string> const& flags)
{
    Record record(flags.at("record"));
    auto const sizes = splitList(flags.contains("places") ? flags.at("places") : "128+24", '+');
    Server server(record, flags.at("id"), std::stoul(sizes.at(0)), std::stoul(sizes.at(1)));
    std::signal(SIGUSR1, [](int) { isLeaving = true; });
    if (flags.contains("store"))
        std::thread([&] { server.reportLeaving(parseAddress(flags.at("store")), flags.at("draining-entry")); }).detach();
    acceptForever(listenOn(parseAddress(flags.at("listen"))), [&server](Socket socket) { server.serve(std::move(socket)); });
    return 0;
}

}
