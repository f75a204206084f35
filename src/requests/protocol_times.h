#ifndef CARDAMOMROUTE_REQUESTS_PROTOCOL_TIMES_H_
#define CARDAMOMROUTE_REQUESTS_PROTOCOL_TIMES_H_

#include "absl/time/time.h"

namespace cardamomroute {

// Times of RFC 7252, section 4.8, with its default parameters.
constexpr absl::Duration kAckTimeout = absl::Seconds(2);
constexpr double kAckRandomFactor = 1.5;
constexpr int kMaxRetransmit = 4;
/// From the first transmission of a message to the time at which its message
/// id may be used again.
constexpr absl::Duration kExchangeLifetime = absl::Seconds(247);
/// From the first transmission of a message to the last.
constexpr absl::Duration kMaxTransmitSpan = absl::Seconds(45);
/// Default Max-Age (RFC 7252, section 5.10.5).
constexpr absl::Duration kDefaultMaxAge = absl::Seconds(60);

/// Time after which an empty acknowledgement goes ahead of the answer.
constexpr absl::Duration kAcknowledgeDelay = absl::Milliseconds(200);
/// Time between looks for what has expired.
constexpr absl::Duration kSweepInterval = absl::Seconds(10);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_PROTOCOL_TIMES_H_
