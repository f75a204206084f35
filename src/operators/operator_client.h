#ifndef CARDAMOMROUTE_OPERATORS_OPERATOR_CLIENT_H_
#define CARDAMOMROUTE_OPERATORS_OPERATOR_CLIENT_H_

#include <absl/time/time.h>

#include <cstddef>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "inner/node.pb.h"
#include "operators/answer.h"

namespace cardamomroute {

class control_link;

/// Gets one definite answer out of a group of control VMs: tries them in turn,
/// follows the leader that they name, and sends the same request again when an
/// answer is lost.
class operator_client {
 public:
  /// `control` is not empty. `link` outlives the client.
  operator_client(control_link& link, std::vector<endpoint> control);

  /// The answer of a control VM that could decide. Where there is none by
  /// `give_up_at`: "outcome-unknown" when `request` changes state and may have
  /// been delivered, else what kept it from being done.
  inner::operator_answer Ask(const inner::operator_request& request,
                             absl::Time give_up_at);

 private:
  struct attempts;

  void NoteFailure(const error& failure, attempts& made);
  void NoteAnswer(const inner::operator_answer& given, attempts& made);
  void FollowLeader(const std::string& leader, attempts& made);
  void TryNext(attempts& made);

  control_link& link_;
  std::vector<endpoint> control_;
  /// The one to ask; kept between requests.
  endpoint present_;
  size_t next_ = 0;
};

/// Commands that change state.
bool ChangesState(const inner::operator_request& request);

/// `given` with its figures, ready to be rendered.
answer ToAnswer(const inner::operator_answer& given);

/// One answer for each fault of a refused text, or `given` alone where it
/// lists none. Places in the text are named as places in `file`.
std::vector<answer> ToAnswers(const inner::operator_answer& given,
                              const std::string& file);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_OPERATOR_CLIENT_H_
