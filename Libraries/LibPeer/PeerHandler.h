#pragma once

#include <LibCore/Runtime.h>
#include <LibPeer/PeerMessages.h>

namespace Peer {

/// Handles calls from other nodes. All methods run on the runtime's thread. An exception thrown by a method is reported to
/// the caller as a failed call.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    [[nodiscard]] virtual Core::Awaitable<ExchangeReply> exchange(ExchangeRequest) = 0;
    [[nodiscard]] virtual Core::Awaitable<FetchConfigurationReply> fetchConfiguration(FetchConfigurationRequest) = 0;
    [[nodiscard]] virtual Core::Awaitable<ReplicateReply> replicate(ReplicateRequest) = 0;
    [[nodiscard]] virtual Core::Awaitable<HandOverReply> handOver(HandOverRequest) = 0;
    [[nodiscard]] virtual Core::Awaitable<FindStreamReply> findStream(FindStreamRequest) = 0;
    [[nodiscard]] virtual Core::Awaitable<BeginIntentReply> beginIntent(BeginIntentRequest) = 0;
    [[nodiscard]] virtual Core::Awaitable<FinishIntentReply> finishIntent(FinishIntentRequest) = 0;
    /// May delay the reply by up to the request's waitMilliseconds.
    [[nodiscard]] virtual Core::Awaitable<FetchPlatformDataReply> fetchPlatformData(FetchPlatformDataRequest) = 0;
};

}
