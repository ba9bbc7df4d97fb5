#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

// Blocking sockets and the part of HTTP/1.1 that the stand-ins need. One thread for each connection.
namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Appends lines to the record of a case. Each line is written with one call, so that processes can share the file.
class Record {
public:
    explicit Record(std::string const& path)
        : m_file(std::fopen(path.c_str(), "a"))
    {
    }

    void line(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (auto const part : parts)
            text += part;
        line(text);
    }

    void line(std::string const& text)
    {
        std::scoped_lock const lock(m_mutex);
        auto const full = std::to_string(unixMilliseconds()) + " " + text + "\n";
        std::fwrite(full.data(), 1, full.size(), m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct Address {
    std::string ip;
    std::uint16_t port { 0 };

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address parseAddress(std::string const& text)
{
    auto const colon = text.rfind(':');
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)) };
}

inline sockaddr_in toSockaddr(Address const& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// A TCP connection that is closed at the end of its scope.
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }
    Socket(Socket const&) = delete;
    Socket& operator=(Socket const&) = delete;

    [[nodiscard]] bool isOpen() const { return m_descriptor >= 0; }
    [[nodiscard]] int descriptor() const { return m_descriptor; }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

    void reset()
    {
        linger const abort { 1, 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        close();
    }

    bool write(std::string const& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto const count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end, on an error and at the deadline.
    bool fill(Clock::time_point deadline)
    {
        while (true) {
            auto const left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
            if (left <= 0)
                return false;
            pollfd entry { m_descriptor, POLLIN, 0 };
            if (::poll(&entry, 1, static_cast<int>(left)) <= 0)
                return false;
            char bytes[16384];
            auto const count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
            if (count <= 0)
                return false;
            m_buffer.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
    }

    /// Whether the peer has closed or reset the connection.
    [[nodiscard]] bool isClosedByPeer() const
    {
        char byte = 0;
        auto const count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string& buffer() { return m_buffer; }

private:
    int m_descriptor;
    std::string m_buffer;
};

inline Socket connectTo(Address const& address, Milliseconds timeout = Milliseconds(1000))
{
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    timeval const limit { timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    int const one = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    auto const target = toSockaddr(address);
    if (::connect(socket.descriptor(), reinterpret_cast<sockaddr const*>(&target), sizeof(target)) != 0)
        return Socket();
    return socket;
}

inline int listenOn(Address const& address)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    int const one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto const local = toSockaddr(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&local), sizeof(local)) != 0 || ::listen(descriptor, 1024) != 0) {
        std::fprintf(stderr, "cannot listen on %s: %s\n", address.text().c_str(), std::strerror(errno));
        std::exit(2);
    }
    return descriptor;
}

/// Accepts connections until the process ends and serves each in a thread of its own.
inline void acceptForever(int descriptor, std::function<void(Socket)> const& serve)
{
    while (true) {
        int const accepted = ::accept(descriptor, nullptr, nullptr);
        if (accepted < 0)
            continue;
        int const one = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([serve, accepted] { serve(Socket(accepted)); }).detach();
    }
}

struct Headers {
    std::vector<std::pair<std::string, std::string>> fields;

    [[nodiscard]] std::string find(std::string const& name) const
    {
        for (auto const& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

struct Head {
    std::string firstLine;
    Headers headers;
};

/// Reads the head of a message, which ends with an empty line.
inline std::optional<Head> readHead(Socket& socket, Clock::time_point deadline)
{
    std::size_t end = 0;
    while ((end = socket.buffer().find("\r\n\r\n")) == std::string::npos) {
        if (!socket.fill(deadline))
            return std::nullopt;
    }
    auto const text = socket.buffer().substr(0, end + 2);
    socket.buffer().erase(0, end + 4);
    Head head;
    std::size_t at = text.find("\r\n");
    head.firstLine = text.substr(0, at);
    for (at += 2; at < text.size();) {
        auto const next = text.find("\r\n", at);
        auto const line = text.substr(at, next - at);
        auto const colon = line.find(':');
        auto const value = colon == std::string::npos ? std::string::npos : line.find_first_not_of(' ', colon + 1);
        if (colon != std::string::npos)
            head.headers.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        at = next + 2;
    }
    return head;
}

inline bool readExactly(Socket& socket, std::size_t count, std::string& bytes, Clock::time_point deadline)
{
    while (socket.buffer().size() < count) {
        if (!socket.fill(deadline))
            return false;
    }
    bytes += socket.buffer().substr(0, count);
    socket.buffer().erase(0, count);
    return true;
}

/// Reads a body with a length or in chunks. Calls the function, if any, with each piece. Returns false if the body is incomplete.
inline bool readBody(Socket& socket, Headers const& headers, std::string& body, Clock::time_point deadline, std::function<void()> const& onPiece = {})
{
    if (headers.find("Transfer-Encoding") != "chunked") {
        auto const length = headers.find("Content-Length");
        return readExactly(socket, length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10), body, deadline);
    }
    while (true) {
        std::size_t end = 0;
        while ((end = socket.buffer().find("\r\n")) == std::string::npos) {
            if (!socket.fill(deadline))
                return false;
        }
        auto const size = std::strtoul(socket.buffer().c_str(), nullptr, 16);
        socket.buffer().erase(0, end + 2);
        std::string lineEnd;
        if (!readExactly(socket, size, body, deadline) || !readExactly(socket, 2, lineEnd, deadline))
            return false;
        if (size == 0)
            return true;
        if (onPiece)
            onPiece();
    }
}

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    [[nodiscard]] std::string path() const { return target.substr(0, target.find('?')); }

    [[nodiscard]] std::string query(std::string const& name) const
    {
        auto const mark = target.find('?');
        auto const text = mark == std::string::npos ? std::string() : "&" + target.substr(mark + 1) + "&";
        auto const at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        auto const start = at + name.size() + 2;
        return text.substr(start, text.find('&', start) - start);
    }
};

inline std::optional<Request> readRequest(Socket& socket, Clock::time_point deadline)
{
    auto head = readHead(socket, deadline);
    if (!head)
        return std::nullopt;
    auto const first = head->firstLine.find(' ');
    auto const second = head->firstLine.find(' ', first + 1);
    Request request { head->firstLine.substr(0, first), head->firstLine.substr(first + 1, second - first - 1), std::move(head->headers), {} };
    if (!readBody(socket, request.headers, request.body, deadline))
        return std::nullopt;
    return request;
}

inline std::string chunkOf(std::string const& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string responseText(std::string const& status, std::string const& headers, std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Flags of the form --name=value.
inline std::map<std::string, std::string> parseFlags(int argc, char** argv, int first)
{
    std::map<std::string, std::string> flags;
    for (int i = first; i < argc; ++i) {
        std::string const text = argv[i];
        auto const equals = text.find('=');
        if (text.starts_with("--") && equals != std::string::npos)
            flags[text.substr(2, equals - 2)] = text.substr(equals + 1);
    }
    return flags;
}

inline std::vector<std::string> splitList(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::size_t at = 0;
    while (at <= text.size() && !text.empty()) {
        auto const end = std::min(text.find(separator, at), text.size());
        parts.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    return parts;
}

int runStore(std::map<std::string, std::string> const& flags);
int runServer(std::map<std::string, std::string> const& flags);
int runClients(std::map<std::string, std::string> const& flags);
int runSingleRequests(std::map<std::string, std::string> const& flags);
int runSteadyClients(std::map<std::string, std::string> const& flags);

}
