#include "control/control_state_test_support.h"

#include <rapidcheck.h>

#include <algorithm>

#include "base/concat.h"

namespace cardamomroute::control {
namespace {

int RandomBelow(int end) { return *rc::gen::inRange(0, end); }

std::string ServiceName(int number) { return Concat("service-", number); }

void SetBase(const control_state& state, inner::submit_text* submission) {
  const bool is_version_current = RandomBelow(6) != 0;
  const bool is_digest_current = RandomBelow(6) != 0;
  submission->set_base_version(is_version_current ? state.Text().version
                                                  : RandomBelow(30));
  submission->set_base_digest(is_digest_current ? state.Text().digest
                                                : "other");
}

void SetText(inner::submit_text* submission) {
  const int first_address = RandomBelow(4);
  for (int number = 0; number < 3; ++number) {
    if (RandomBelow(4) == 0) {
      continue;
    }
    inner::service_definition* added = submission->add_services();
    added->set_name(ServiceName(number));
    // The rotation makes texts move addresses between services without giving
    // one address to two services of the same text.
    const int address = (first_address + number) % 4 + 1;
    added->set_address(Concat("192.0.2.", address, ":5683"));
    added->set_protocol(RandomBelow(2));
    added->add_depends_on(ServiceName((number + 1) % 3));
  }
  submission->set_text(submission->ShortDebugString());
  submission->set_digest(Concat("digest-", RandomBelow(1000)));
}

void SetJoin(inner::node_join* join) {
  const int node = RandomBelow(5);
  join->set_node_name(Concat("node-", node));
  join->set_incarnation(RandomBelow(4));
  const std::string zone = Concat("zone-", RandomBelow(2));
  const std::string address = Concat("198.51.100.", RandomBelow(5), ":9000");
  if (node == 0) {
    join->mutable_balancer()->set_zone(zone);
    join->mutable_balancer()->set_inner(address);
    return;
  }
  join->set_service(ServiceName(RandomBelow(3)));
  join->mutable_target()->set_zone(zone);
  join->mutable_target()->set_agent(address);
  join->mutable_target()->set_slots(RandomBelow(4));
}

inner::registry_batch RandomBatch(uint64_t next_id) {
  inner::registry_batch batch;
  for (int count = RandomBelow(3); count > 0; --count) {
    SetJoin(batch.add_joined());
  }
  for (int count = RandomBelow(3); count > 0; --count) {
    batch.add_lost(next_id - std::min<uint64_t>(next_id, RandomBelow(6)));
    batch.add_drained(next_id - std::min<uint64_t>(next_id, RandomBelow(6)));
  }
  if (RandomBelow(6) == 0) {
    for (int count = 1 + RandomBelow(2); count > 0; --count) {
      inner::zone_loss* loss = batch.add_lost_zones();
      loss->set_zone(Concat("zone-", RandomBelow(2)));
      loss->set_below_id(next_id - RandomBelow(2));
    }
  }
  return batch;
}

}  // namespace

inner::command AnyCommand(const control_state& state) {
  inner::command command;
  const absl::Duration step = absl::Seconds(RandomBelow(8) - 1);
  command.set_time_ms(absl::ToUnixMillis(state.LatestTime() + step));
  if (RandomBelow(2) == 0) {
    inner::submit_text* submission = command.mutable_submit();
    submission->set_submission_id(Concat("id-", RandomBelow(40)));
    SetBase(state, submission);
    SetText(submission);
  } else {
    *command.mutable_registry() = RandomBatch(state.Nodes().NextId());
  }
  return command;
}

apply_outcome command_runner::Run(const inner::command& command) {
  index_ += 1 + RandomBelow(2);
  return state_.Apply(index_, command.SerializeAsString());
}

inner::command Submission(const control_state& state, const std::string& id,
                          const std::string& service,
                          const std::string& address) {
  inner::command command;
  command.set_time_ms(absl::ToUnixMillis(state.LatestTime()));
  inner::submit_text* submission = command.mutable_submit();
  submission->set_submission_id(id);
  submission->set_base_version(state.Text().version);
  submission->set_base_digest(state.Text().digest);
  inner::service_definition* added = submission->add_services();
  added->set_name(service);
  added->set_address(address);
  submission->set_text(Concat(service, " at ", address));
  submission->set_digest(submission->text());
  return command;
}

}  // namespace cardamomroute::control
