#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_LINK_TEST_SUPPORT_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_LINK_TEST_SUPPORT_H_

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "operators/control_link.h"

namespace cardamomroute {

/// What becomes of one request to the fake group.
enum class fate : uint8_t {
  kAnswered,
  /// Never leaves.
  kRefusedConnection,
  /// Is lost on the way.
  kRequestLost,
  /// Takes effect, but its answer is lost.
  kAnswerLost,
  /// Takes effect only after a later request, without an answer.
  kDelayed,
  kNotLeader,
  kNotLeaderWithHint,
  kNoQuorum,
  /// Takes effect, but the control VM cannot tell.
  kOutcomeUnknown,
  /// Another operator's text is accepted just before.
  kRaced,
};

constexpr int kFates = 10;

/// A control group that remembers submissions, with a clock of its own.
class fake_control_group : public control_link {
 public:
  /// Requests meet `fates` in turn, and `last` when these are used up.
  fake_control_group(std::vector<fate> fates, fate last)
      : fates_(std::move(fates)), last_(last) {}

  result<inner::operator_answer> Ask(const endpoint& control,
                                     const inner::operator_request& request,
                                     absl::Time deadline) override;
  absl::Time Now() override { return now_; }
  void Pause(absl::Duration length) override { now_ += length; }

  /// Lets every delayed request take effect.
  void DeliverDelayed();

  /// True when the submission with this id was accepted.
  bool HasAccepted(const std::string& id) const {
    return accepted_.count(id) != 0;
  }

  /// Ids of all submissions that were sent, lost ones included.
  const std::set<std::string>& SentIds() const { return sent_; }

  uint64_t Version() const { return version_; }

  /// The text that show gives back.
  void SetText(std::string text) { text_ = std::move(text); }

  /// From now on every text is refused with this answer.
  void RefuseTexts(inner::operator_answer refusal) {
    refusal_ = std::move(refusal);
  }

  /// How many nodes there are; each status answer finds one more in force.
  void SetNodes(uint32_t nodes) { nodes_ = nodes; }

 private:
  inner::operator_answer Execute(const inner::operator_request& request);
  inner::operator_answer Submit(const inner::operator_request& request);
  inner::operator_answer Progress();

  std::vector<fate> fates_;
  fate last_;
  size_t next_ = 0;
  absl::Time now_ = absl::UnixEpoch();
  uint64_t version_ = 3;
  std::string digest_ = std::string(64, 'd');
  std::string text_ = R"({"services":[]})";
  std::map<std::string, inner::operator_answer> remembered_;
  std::set<std::string> accepted_;
  std::set<std::string> sent_;
  std::vector<inner::operator_request> delayed_;
  std::optional<inner::operator_answer> refusal_;
  uint32_t nodes_ = 2;
  uint32_t in_force_ = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_LINK_TEST_SUPPORT_H_
