#pragma once

#include <LibHTTP/Server.h>
#include <Support/MemoryObjectStore.h>

namespace StandIns {

/// Stand-in for the platform's store with the operations that the adapter uses: reads, paged lists, conditional writes and
/// watches of objects with revisions. Every answer names the store's era, which starts at 1. Runs on the test's event loop.
class StoreStandIn {
public:
    explicit StoreStandIn(Core::Runtime&);

    /// Listens on a port of the loopback interface.
    [[nodiscard]] Core::Endpoint start();

    /// The value may be any text, also one that is not valid JSON.
    void put(std::string const& kind, std::string const& name, std::string value);
    void putStatus(std::string const& kind, std::string const& name, std::string status);
    void erase(std::string const& kind, std::string const& name);

    /// The current objects and their history; a copy of them can be restored later.
    [[nodiscard]] TestSupport::MemoryObjects const& objects() const { return m_objects; }
    /// Returns to a copy: its objects, history and revision counter, in the next era. Closes the connections of the pending watches.
    void restore(TestSupport::MemoryObjects const& copy);

    /// The watches that are pending get no response any more, as on connections that went silent. Later calls work.
    void silenceWatches();
    /// Closes the connections of the pending watches.
    void cutWatches();
    /// The pending watches end without events, but with the revision at that time. Later watches are answered.
    void hideChangesFromPendingWatches();

    /// While set, watches end without events, but with the current revision.
    bool hidesChanges { false };
    std::size_t watches { 0 };
    /// While set, every call gets this status.
    std::optional<unsigned> forcedStatus;
    /// Watches from earlier revisions get status 410, as those from revisions that the store has not assigned.
    std::uint64_t oldestRevision { 0 };
    std::size_t calls { 0 };

private:
    [[nodiscard]] Core::Awaitable<void> handle(HTTP::Request const&, HTTP::ResponseWriter&);
    /// Returns an empty optional if the connection is to be closed.
    [[nodiscard]] Core::Awaitable<std::optional<HTTP::Response>> watch(std::string kind, HTTP::Request const&);
    [[nodiscard]] HTTP::Response list(std::string const& kind, HTTP::Request const&) const;
    [[nodiscard]] HTTP::Response write(std::string const& kind, std::string name, HTTP::Request const&);

    Core::Runtime& m_runtime;
    TestSupport::MemoryObjects m_objects;
    Core::AsyncEvent m_changed;
    /// The number of watches when they were last silenced, cut or left without events; later ones are answered.
    std::size_t m_silencedWatches { 0 };
    std::size_t m_cutWatches { 0 };
    std::size_t m_watchesWithoutEvents { 0 };
    HTTP::Server m_server;
};

}
