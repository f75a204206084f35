#ifndef CARDAMOMROUTE_REQUESTS_PROTOCOL_TIMES_H_
#define CARDAMOMROUTE_REQUESTS_PROTOCOL_TIMES_H_

#include "absl/time/time.h"

namespace cardamomroute {

// Transmission parameters of RFC 7252, section 4.8, at their default values.
constexpr absl::Duration kAckTimeout = absl::Seconds(2);
constexpr double kAckRandomFactor = 1.5;
constexpr int kMaxRetransmit = 4;
/// EXCHANGE_LIFETIME: from the first transmission of a message until its
/// message id may be reused.
constexpr absl::Duration kExchangeLifetime = absl::Seconds(247);
/// MAX_TRANSMIT_SPAN: from the first transmission of a message to its last
/// retransmission.
constexpr absl::Duration kMaxTransmitSpan = absl::Seconds(45);
/// Default Max-Age (RFC 7252, section 5.10.5).
constexpr absl::Duration kDefaultMaxAge = absl::Seconds(60);

/// Delay after which an empty acknowledgement is sent because the answer is
/// not yet available (separate response, RFC 7252, section 5.2.2).
constexpr absl::Duration kAcknowledgeDelay = absl::Milliseconds(200);
/// Interval at which expired state is removed.
constexpr absl::Duration kSweepInterval = absl::Seconds(10);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_PROTOCOL_TIMES_H_
