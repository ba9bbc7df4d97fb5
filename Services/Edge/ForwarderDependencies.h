#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibForward/RequestCodec.h>
#include <LibHTTP/Client.h>

namespace Edge {

/// What the parts that forward requests use. All references outlive them. Used from the runtime's thread only.
struct ForwarderDependencies {
    Core::Runtime& runtime;
    HTTP::Client& client;
    Forward::RequestCodec const& codec;
    EdgeTables& tables;
    EdgeSettings const& settings;
    Core::Random& random;
    Core::Metrics& metrics;
    std::uint64_t incarnation { 0 };
    Core::MonotonicTime startedAt;
};

}
