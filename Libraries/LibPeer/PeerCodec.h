#pragma once

#include <LibPeer/Peer.capnp.h>
#include <LibPeer/PeerMessages.h>

namespace Peer {

/// Conversion between plain structs and Cap'n Proto. Thread safe. Decoding throws kj::Exception on a value outside its range
/// and on a malformed message.
void encode(ExchangeMessage const&, Wire::ExchangeMessage::Builder);
void encode(ExchangeRequest const&, Wire::ExchangeMessage::Builder);
void encode(ExchangeReply const&, Wire::ExchangeMessage::Builder);
void encode(FetchConfigurationRequest const&, Wire::FetchConfigurationRequest::Builder);
void encode(FetchConfigurationReply const&, Wire::FetchConfigurationReply::Builder);
void encode(ReplicateRequest const&, Wire::StreamRecords::Builder);
void encode(HandOverRequest const&, Wire::StreamRecords::Builder);
void encode(ReplicateReply const&, Wire::StreamResults::Builder);
void encode(HandOverReply const&, Wire::StreamResults::Builder);
void encode(FindStreamRequest const&, Wire::FindStreamRequest::Builder);
void encode(FindStreamReply const&, Wire::FindStreamReply::Builder);
void encode(BeginIntentRequest const&, Wire::BeginIntentRequest::Builder);
void encode(BeginIntentReply const&, Wire::BeginIntentReply::Builder);
void encode(FinishIntentRequest const&, Wire::FinishIntentRequest::Builder);
void encode(FinishIntentReply const&, Wire::FinishIntentReply::Builder);
void encode(FetchPlatformDataRequest const&, Wire::FetchPlatformDataRequest::Builder);
void encode(FetchPlatformDataReply const&, Wire::FetchPlatformDataReply::Builder);

void decode(Wire::ExchangeMessage::Reader, ExchangeMessage&);
void decode(Wire::ExchangeMessage::Reader, ExchangeRequest&);
void decode(Wire::ExchangeMessage::Reader, ExchangeReply&);
void decode(Wire::FetchConfigurationRequest::Reader, FetchConfigurationRequest&);
void decode(Wire::FetchConfigurationReply::Reader, FetchConfigurationReply&);
void decode(Wire::StreamRecords::Reader, ReplicateRequest&);
void decode(Wire::StreamRecords::Reader, HandOverRequest&);
void decode(Wire::StreamResults::Reader, ReplicateReply&);
void decode(Wire::StreamResults::Reader, HandOverReply&);
void decode(Wire::FindStreamRequest::Reader, FindStreamRequest&);
void decode(Wire::FindStreamReply::Reader, FindStreamReply&);
void decode(Wire::BeginIntentRequest::Reader, BeginIntentRequest&);
void decode(Wire::BeginIntentReply::Reader, BeginIntentReply&);
void decode(Wire::FinishIntentRequest::Reader, FinishIntentRequest&);
void decode(Wire::FinishIntentReply::Reader, FinishIntentReply&);
void decode(Wire::FetchPlatformDataRequest::Reader, FetchPlatformDataRequest&);
void decode(Wire::FetchPlatformDataReply::Reader, FetchPlatformDataReply&);

/// The size of the encoded message in bytes, without the envelope of the call.
[[nodiscard]] std::size_t encodedBytes(ExchangeMessage const&);

}
