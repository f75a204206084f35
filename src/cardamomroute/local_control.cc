#include "cardamomroute/local_control.h"

#include <memory>
#include <utility>

namespace cardamomroute {

local_control::local_control() {
  summary_.configuration =
      std::make_shared<const inner::configuration_record>();
}

void local_control::Submit(inner::operator_request request) {
  const std::lock_guard lock(mutex_);
  requests_.push_back(std::move(request));
  submitted_.Raise();
}

std::vector<inner::operator_answer> local_control::TakeAnswers() {
  const std::lock_guard lock(mutex_);
  return std::exchange(answers_, {});
}

control_summary local_control::Summary() const {
  const std::lock_guard lock(mutex_);
  return summary_;
}

std::vector<inner::operator_request> local_control::TakeRequests() {
  const std::lock_guard lock(mutex_);
  submitted_.Clear();
  return std::exchange(requests_, {});
}

void local_control::Answer(inner::operator_answer answer) {
  {
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
  }
  notify_();
}

void local_control::Publish(
    const control::shared_configuration& configuration,
    const google::protobuf::RepeatedPtrField<inner::member_record>& members,
    std::shared_ptr<const metric_recorder> measured) {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<size_t>(members.size()));
  for (const inner::member_record& member : members) {
    addresses.push_back(member.address());
  }
  const std::lock_guard lock(mutex_);
  if (summary_.configuration != configuration) {
    summary_.configuration = configuration;
  }
  if (summary_.members != addresses) {
    summary_.members = std::move(addresses);
  }
  summary_.measured = std::move(measured);
}

}  // namespace cardamomroute
