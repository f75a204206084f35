#include "cardamomroute/control_answers.h"

#include <string>
#include <zmq.hpp>

#include "base/log.h"

namespace cardamomroute {

inner::operator_answer RefusalAnswer(const error& refusal) {
  inner::operator_answer answer;
  answer.set_code(std::string(CodeOf(refusal.kind)));
  answer.set_place(refusal.place);
  answer.set_detail(refusal.detail);
  return answer;
}

void SendAnswer(std::string_view client, const inner::control_answer& answer,
                zmq::socket_t* router) {
  try {
    const auto addressed =
        router->send(zmq::buffer(client),
                     zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    if (addressed) {
      router->send(zmq::buffer(answer.SerializeAsString()),
                   zmq::send_flags::dontwait);
    }
  } catch (const zmq::error_t& failure) {
    log_line(log_level::kWarn, "answer_dropped").With("reason", failure.what());
  }
}

}  // namespace cardamomroute
