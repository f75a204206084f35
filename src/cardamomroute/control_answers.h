#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_ANSWERS_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_ANSWERS_H_

#include <string_view>

#include "base/result.h"
#include "inner/node.pb.h"

namespace zmq {
class socket_t;
}  // namespace zmq

namespace cardamomroute {

/// Codes of answers to operations that are not refused.
inline constexpr char kOkCode[] = "ok";
inline constexpr char kAcceptedCode[] = "accepted";

/// The answer to an operation that is refused.
inner::operator_answer RefusalAnswer(const error& refusal);

/// Sends `answer` through a ROUTER socket to the connection named `client`.
/// An answer that cannot go out at once is dropped; never blocks.
void SendAnswer(std::string_view client, const inner::control_answer& answer,
                zmq::socket_t* router);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_ANSWERS_H_
