#include "Net.h"

#include <condition_variable>
#include <deque>

// The platform's store and its cloud API: objects by kind and name with revisions, conditional writes, lists and watches.
namespace Review {

namespace {

struct Object {
    std::uint64_t revision { 0 };
    std::uint64_t createRevision { 0 };
    std::string specification;
};

struct Event {
    std::string kind;
    std::uint64_t revision { 0 };
    bool isDeleted { false };
    std::string object;
};

class Store {
public:
    explicit Store(Record& record)
        : m_record(record)
    {
    }

    void put(std::string const& kind, std::string const& name, std::string const& specification)
    {
        auto& object = m_objects[{ kind, name }];
        object.revision = ++m_revision;
        if (object.createRevision == 0)
            object.createRevision = m_revision;
        object.specification = specification;
        m_events.push_back({ kind, m_revision, false, objectJson(name, object) });
        m_changed.notify_all();
    }

    std::string handle(Request const& request)
    {
        static std::string const prefix = "/hyssopstep/objects/";
        auto const path = request.path();
        if (request.method == "POST" && (path == "/usage" || path == "/scale")) {
            m_record.line("cloud " + path + " holder=" + request.headers.find("X-Hyssopstep-Duty-Holder") + " token=" + request.headers.find("X-Hyssopstep-Fencing-Token") + " " + request.body);
            return responseText("200 OK", "Content-Type: application/json\r\n", "{}");
        }
        if (!path.starts_with(prefix))
            return answer("404 Not Found", "{}");
        auto const rest = path.substr(prefix.size());
        auto const slash = rest.find('/');
        auto const kind = rest.substr(0, slash);
        auto const name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (request.method == "GET" && !request.query("watch").empty())
            return watch(kind, request, lock);
        if (request.method == "GET" && name.empty())
            return list(kind);
        if (request.method == "GET") {
            auto const found = m_objects.find({ kind, name });
            return found == m_objects.end() ? answer("404 Not Found", "{}") : answer("200 OK", objectJson(name, found->second));
        }
        return write(kind, name, request);
    }

private:
    static std::string objectJson(std::string const& name, Object const& object)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) + R"(,"create-rev":)" + std::to_string(object.createRevision)
            + R"(,"finalizers":[],"deleting":false},"spec":)" + object.specification + R"(,"status":null})";
    }

    static std::string answer(std::string const& status, std::string const& body)
    {
        return responseText(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body);
    }

    std::string list(std::string const& kind) const
    {
        std::string items;
        for (auto const& [key, object] : m_objects) {
            if (key.first == kind)
                items += (items.empty() ? "" : ",") + objectJson(key.second, object);
        }
        return answer("200 OK", R"({"items":[)" + items + R"(],"more-pages":false,"store-revision":)" + std::to_string(m_revision) + "}");
    }

    std::string watch(std::string const& kind, Request const& request, std::unique_lock<std::mutex>& lock)
    {
        auto const since = std::strtoull(request.query("watch").c_str(), nullptr, 10);
        auto const deadline = Clock::now() + Milliseconds(std::strtoll(request.query("wait-ms").c_str(), nullptr, 10));
        while (true) {
            std::string events;
            for (auto const& event : m_events) {
                if (event.kind == kind && event.revision > since)
                    events += (events.empty() ? "" : ",") + (R"({"deleted":)" + std::string(event.isDeleted ? "true" : "false") + R"(,"object":)" + event.object + "}");
            }
            bool const isTimeout = events.empty() && m_changed.wait_until(lock, deadline) == std::cv_status::timeout;
            if (!events.empty() || isTimeout)
                return answer("200 OK", R"({"events":[)" + events + R"(],"store-revision":)" + std::to_string(m_revision) + "}");
        }
    }

    // The body is written by the system with "metadata" first and "spec" last.
    std::string write(std::string const& kind, std::string name, Request const& request)
    {
        auto const& body = request.body;
        bool const creates = request.method == "POST";
        if (creates) {
            auto const at = body.find(R"("name":")") + 8;
            name = body.substr(at, body.find('"', at) - at);
        }
        auto const found = m_objects.find({ kind, name });
        bool const exists = found != m_objects.end();
        if (creates && exists)
            return answer("409 Conflict", objectJson(name, found->second));
        if (!creates && !exists)
            return answer("404 Not Found", "{}");
        auto const revisionAt = body.find(R"("revision":)");
        if (exists && revisionAt != std::string::npos && std::strtoull(body.c_str() + revisionAt + 11, nullptr, 10) != found->second.revision)
            return answer("409 Conflict", objectJson(name, found->second));
        auto const specificationAt = body.find(R"("spec":)") + 7;
        put(kind, name, body.substr(specificationAt, body.size() - specificationAt - 1));
        return answer("200 OK", objectJson(name, m_objects.at({ kind, name })));
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision { 0 };
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::deque<Event> m_events;
};

std::string readFile(std::string const& path)
{
    std::string text;
    if (auto* file = std::fopen(path.c_str(), "r")) {
        char bytes[4096];
        for (std::size_t count = 0; (count = std::fread(bytes, 1, sizeof(bytes), file)) > 0;)
            text.append(bytes, count);
        std::fclose(file);
    }
    while (text.ends_with('\n'))
        text.pop_back();
    return text;
}

}

// --listen=IP:PORT --record=FILE --config=FILE --servers=ID/SERVICE/IP:PORT/ZONE[/SLOTS[/spot]],...
int runStore(std::map<std::string, std::string> const& flags)
{
    Record record(flags.at("record"));
    Store store(record);
    store.put("config", "main", readFile(flags.at("config")));
    for (auto const& entry : splitList(flags.at("servers"), ',')) {
        auto const parts = splitList(entry, '/');
        store.put("servers", parts.at(0), R"({"service":")" + parts.at(1) + R"(","address":")" + parts.at(2) + R"(","zone":")" + parts.at(3) + R"(","version":"v1","slots":)" + (parts.size() > 4 ? parts.at(4) : "16") + R"(,"state":"ready","cold-left-ms":0,"seq":1,"spot":)" + (parts.size() > 5 ? "true" : "false") + R"(,"born":)" + std::to_string(unixMilliseconds()) + "}");
    }
    acceptForever(listenOn(parseAddress(flags.at("listen"))), [&store](Socket socket) {
        while (auto const request = readRequest(socket, Clock::now() + std::chrono::hours(1))) {
            if (!socket.write(store.handle(*request)))
                return;
        }
    });
    return 0;
}

}
