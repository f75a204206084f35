#include "load/state_builder.h"

#include <string>
#include <utility>

#include "base/concat.h"
#include "inner/command.pb.h"

namespace cardamomroute::load {
namespace {

constexpr int kZones = 10;

std::string ServiceName(int number) { return Concat("service-", number); }

std::string Address(int prefix, int number, int port) {
  return Concat(prefix, ".", number >> 16, ".", (number >> 8) & 255, ".",
                number & 255, ":", port);
}

void AddService(int number, inner::submit_text* submit) {
  inner::service_definition* added = submit->add_services();
  added->set_name(ServiceName(number));
  added->set_address(Address(20, number, 5683));
  added->set_protocol(1);
  inner::call_record* call = added->add_calls();
  call->set_name("write");
  call->set_method("POST");
  call->set_path("/writes");
  call->set_timeout_ms(4000);
}

}  // namespace

std::unique_ptr<state_builder> state_builder::Build(int services, int targets) {
  auto built = std::make_unique<state_builder>();
  built->SubmitServices(services);
  built->JoinTargets(0, targets, services);
  return built;
}

void state_builder::Run(inner::command command) {
  command.set_time_ms(1000 * static_cast<int64_t>(index_));
  state_.Apply(++index_, command.SerializeAsString());
}

void state_builder::SubmitServices(int services) {
  inner::command command;
  inner::submit_text* submit = command.mutable_submit();
  submit->set_submission_id(Concat("submission-", index_));
  submit->set_text(Concat("text ", index_));
  submit->set_digest(Concat("digest ", index_));
  submit->set_base_version(state_.Text().version);
  submit->set_base_digest(state_.Text().digest);
  for (int i = 0; i < services; ++i) {
    AddService(i, submit);
  }
  Run(std::move(command));
}

void state_builder::JoinTargets(int first, int last, int services) {
  inner::command command;
  for (int i = first; i < last; ++i) {
    inner::node_join* join = command.mutable_registry()->add_joined();
    join->set_node_name(Concat("target-", i));
    join->set_incarnation(static_cast<uint64_t>(i) + 1);
    join->set_service(ServiceName(i % services));
    join->mutable_target()->set_zone(Concat("zone-", i % kZones));
    join->mutable_target()->set_agent(Address(10, i, 7001));
    join->mutable_target()->set_slots(2);
  }
  Run(std::move(command));
}

void state_builder::JoinBalancers(int count) {
  inner::command command;
  for (int i = 0; i < count; ++i) {
    inner::node_join* join = command.mutable_registry()->add_joined();
    join->set_node_name(Concat("balancer-", i));
    join->set_incarnation(static_cast<uint64_t>(i) + 1);
    join->mutable_balancer()->set_zone(Concat("zone-", i % kZones));
    join->mutable_balancer()->set_inner(Address(11, i, 7000));
  }
  Run(std::move(command));
}

void state_builder::LoseZone(int zone) {
  inner::command command;
  inner::zone_loss* lost = command.mutable_registry()->add_lost_zones();
  lost->set_zone(Concat("zone-", zone));
  lost->set_below_id(state_.Nodes().NextId());
  Run(std::move(command));
}

void state_builder::LoseTargetsOf(int zone) {
  inner::command command;
  const std::string name = Concat("zone-", zone);
  for (const target& item : state_.View().targets) {
    if (item.zone == name) {
      command.mutable_registry()->add_lost(item.id);
    }
  }
  Run(std::move(command));
}

void state_builder::Replace(int number, int services) {
  inner::command command;
  command.mutable_registry()->add_lost(
      state_.View().targets[static_cast<size_t>(number)].id);
  Run(std::move(command));
  JoinTargets(number, number + 1, services);
}

}  // namespace cardamomroute::load
