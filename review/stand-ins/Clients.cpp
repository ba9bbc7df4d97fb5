#include "Net.h"

// Clients that keep a connection to a node open for two requests each, as long as the node lets them.
namespace Review {

namespace {

struct Answer {
    /// 0 if the connection ended before the head of an answer.
    int status { 0 };
    bool isComplete { false };
    bool keepsConnection { false };
};

Answer send(Record& record, Socket& socket, std::string const& target, std::string const& id, Milliseconds deadline)
{
    auto const end = Clock::now() + deadline;
    Answer answer;
    bool const isSent = socket.write("POST " + target + " HTTP/1.1\r\nHost: app.example\r\nX-Hyssopstep-Attempt-Id: " + id + "\r\nX-Hyssopstep-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\nAuthorization: Token key-of-tenant-a\r\nContent-Length: 2\r\n\r\n{}");
    auto const head = isSent ? readHead(socket, end) : std::nullopt;
    if (!head)
        return answer;
    answer.status = std::atoi(head->firstLine.c_str() + head->firstLine.find(' '));
    if (!head->headers.find("Server-Leaving").empty()) {
        auto const seal = head->headers.find("X-Hyssopstep-Server-Seal");
        record.line({ "client sees ", id, " from leaving ", std::string_view(seal).substr(0, seal.find('.')) });
    }
    std::string body;
    answer.isComplete = readBody(socket, head->headers, body, end);
    answer.keepsConnection = answer.isComplete && strcasecmp(head->headers.find("Connection").c_str(), "close") != 0;
    return answer;
}

}

// --node=IP:PORT --record=FILE --clients=N --first=EVENTSxGAP --second=EVENTSxGAP --stagger-ms=MS. Each client's first stream is longer by
// the stagger than that of the client before it. Prints the number of second requests that were sent on a kept connection and, of these,
// the number of answers that began and broke off.
int runClients(std::map<std::string, std::string> const& flags)
{
    // Of the route that the streams use.
    static constexpr Milliseconds deadline { 10'000 };
    Record record(flags.at("record"));
    auto const node = parseAddress(flags.at("node"));
    auto const count = std::stoul(flags.at("clients"));
    auto const first = splitList(flags.at("first"), 'x');
    auto const staggeredEvents = std::stoul(flags.at("stagger-ms")) / std::stoul(first.at(1));
    std::atomic<unsigned> sent { 0 };
    std::atomic<unsigned> brokenOff { 0 };
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < count; ++index) {
        threads.emplace_back([&, index] {
            auto const name = "client-" + std::to_string(index);
            auto const firstTarget = "/stream/" + std::to_string(std::stoul(first.at(0)) + index * staggeredEvents) + "x" + first.at(1) + "/" + name;
            auto socket = connectTo(node);
            record.line({ name, " sends ", name, "-1 ", firstTarget });
            auto const before = send(record, socket, firstTarget, name + "-1", deadline);
            record.line({ name, " got ", name, "-1 status ", std::to_string(before.status), before.isComplete ? " complete" : " INCOMPLETE", before.keepsConnection ? ", connection kept" : ", connection to be closed" });
            if (!before.keepsConnection || socket.isClosedByPeer())
                return;
            ++sent;
            record.line({ name, " sends ", name, "-2 /stream/", flags.at("second"), "/", name, " on the same connection" });
            auto const answer = send(record, socket, "/stream/" + flags.at("second") + "/" + name, name + "-2", deadline);
            record.line({ name, " got ", name, "-2 status ", std::to_string(answer.status), answer.isComplete ? " complete" : " INCOMPLETE" });
            if (answer.status == 200 && !answer.isComplete)
                ++brokenOff;
        });
    }
    for (auto& thread : threads)
        thread.join();
    std::printf("%u %u\n", sent.load(), brokenOff.load());
    return 0;
}

// --node=IP:PORT --record=FILE --clients=N --name=NAME --seconds=S --targets=TARGET,... --deadlines-ms=MS,... Each client sends one request after the
// other, on kept connections while it may, with a pause of 100 ms between them.
int runSteadyClients(std::map<std::string, std::string> const& flags)
{
    static constexpr Milliseconds pause { 100 };
    Record record(flags.at("record"));
    auto const node = parseAddress(flags.at("node"));
    auto const targets = splitList(flags.at("targets"), ',');
    auto const deadlines = splitList(flags.at("deadlines-ms"), ',');
    auto const end = Clock::now() + std::chrono::seconds(std::stol(flags.at("seconds")));
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < std::stoul(flags.at("clients")); ++index) {
        threads.emplace_back([&, index] {
            Socket socket;
            for (std::size_t number = 0; Clock::now() < end; ++number) {
                auto const kind = (index + number) % targets.size();
                auto const id = flags.at("name") + std::to_string(index) + "-" + std::to_string(number);
                if (!socket.isOpen() || socket.isClosedByPeer())
                    socket = connectTo(node);
                record.line({ "client sends ", id, " ", targets[kind] });
                auto const answer = send(record, socket, targets[kind], id, Milliseconds(std::stol(deadlines[kind])));
                record.line({ "client got ", id, " status ", std::to_string(answer.status), answer.isComplete ? " complete" : " INCOMPLETE" });
                if (!answer.keepsConnection)
                    socket.close();
                std::this_thread::sleep_for(pause);
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    return 0;
}

// --node=IP:PORT --record=FILE --clients=N --name=NAME --target=TARGET --deadline-ms=MS. Each client sends one request at the same time. Prints
// how many were answered whole, and how many answers began and broke off.
int runSingleRequests(std::map<std::string, std::string> const& flags)
{
    Record record(flags.at("record"));
    auto const node = parseAddress(flags.at("node"));
    auto const target = flags.at("target");
    std::atomic<unsigned> complete { 0 };
    std::atomic<unsigned> brokenOff { 0 };
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < std::stoul(flags.at("clients")); ++index) {
        threads.emplace_back([&, index] {
            auto const id = flags.at("name") + "-" + std::to_string(index);
            auto socket = connectTo(node);
            record.line({ "client sends ", id, " ", target });
            auto const answer = send(record, socket, target, id, Milliseconds(std::stol(flags.at("deadline-ms"))));
            record.line({ "client got ", id, " status ", std::to_string(answer.status), answer.isComplete ? " complete" : " INCOMPLETE" });
            complete += answer.status == 200 && answer.isComplete ? 1 : 0;
            brokenOff += answer.status == 200 && !answer.isComplete ? 1 : 0;
        });
    }
    for (auto& thread : threads)
        thread.join();
    std::printf("%u %u\n", complete.load(), brokenOff.load());
    return 0;
}

}
