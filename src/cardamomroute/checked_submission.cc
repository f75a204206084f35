#include "cardamomroute/checked_submission.h"

#include <utility>

#include "control/submission_reader.h"

namespace cardamomroute {

checked_submission CheckSubmission(std::string client,
                                   const inner::operator_request& request) {
  auto read = control::ReadSubmission(request);
  if (read.has_error()) {
    return {std::move(client), std::move(read), ""};
  }
  inner::command command;
  command.mutable_submit()->Swap(&read.value());
  std::string bytes = command.SerializeAsString();
  command.mutable_submit()->Swap(&read.value());
  return {std::move(client), std::move(read), std::move(bytes)};
}

}  // namespace cardamomroute
