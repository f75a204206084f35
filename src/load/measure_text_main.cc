// Measures at several sizes the processor time of what happens to a submitted
// text: reading, proposing and applying it, and telling nodes of it.
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "base/json_text.h"
#include "control/control_state.h"
#include "control/submission_reader.h"
#include "load/figure_output.h"
#include "load/run_time.h"
#include "load/sample_text.h"
#include "services/service_text.h"

namespace cardamomroute::load {
namespace {

constexpr int kSizes[] = {1500, 3000, 6000, 12000};
constexpr uint64_t kFirstEntry = 1;

/// Prints the processor time of one call of `work`.
template <typename Function>
auto Measure(const std::string& key, Function work) {
  const absl::Duration start = ThreadTime();
  auto made = work();
  PrintFigure(key, absl::ToDoubleMilliseconds(ThreadTime() - start));
  return made;
}

/// Reads a text, step by step and whole.
void MeasureReading(const std::string& text, const std::string& key) {
  const json_limits limits{kMaxServicesBytes};
  Measure(Concat(key, "_json_ms"),
          [&] { return json_text::Parse("text", text, limits).has_value(); });
  const auto parsed = Measure(Concat(key, "_parse_and_check_ms"),
                              [&] { return ParseServices("text", text); });
  const std::string canonical = Measure(Concat(key, "_canonical_ms"), [&] {
    return CanonicalForm(parsed.value());
  });
  PrintFigure(Concat(key, "_canonical_bytes"),
              static_cast<double>(canonical.size()));
  Measure(Concat(key, "_digest_ms"), [&] { return DigestOf(canonical); });
}

inner::operator_request Request(const std::string& text, const std::string& id,
                                const control::control_state& state) {
  inner::operator_request request;
  request.set_text(text);
  request.set_submission_id(id);
  request.set_base_version(state.Text().version);
  request.set_base_digest(state.Text().digest);
  return request;
}

/// Reads a submission and applies it as entry `index`.
void MeasureSubmission(const std::string& text, const std::string& key,
                       uint64_t index, control::control_state* state) {
  const uint64_t before = state->View().version;
  auto read = Measure(Concat(key, "_read_submission_ms"), [&] {
    return control::ReadSubmission(Request(text, key, *state));
  });
  inner::command command;
  *command.mutable_submit() = std::move(read).value();
  Measure(Concat(key, "_recall_ms"),
          [&] { return state->Recall(command.submit()).has_value(); });
  const std::string bytes = Measure(Concat(key, "_serialize_ms"), [&] {
    return command.SerializeAsString();
  });
  PrintFigure(Concat(key, "_entry_bytes"), static_cast<double>(bytes.size()));
  Measure(Concat(key, "_apply_ms"),
          [&] { return state->Apply(index, bytes).view_changed; });
  const size_t delta_bytes = Measure(Concat(key, "_delta_ms"), [&] {
    return state->DeltaFrom(before).ByteSizeLong();
  });
  PrintFigure(Concat(key, "_delta_bytes"), static_cast<double>(delta_bytes));
  const std::string own = state->View().services.front().name;
  const size_t agent_bytes = Measure(Concat(key, "_agent_delta_ms"), [&] {
    return state->DeltaFrom(before, own).ByteSizeLong();
  });
  PrintFigure(Concat(key, "_agent_delta_bytes"),
              static_cast<double>(agent_bytes));
}

void MeasureSize(int services) {
  const std::string size = Concat("text_", services);
  const std::string text = SampleText(services, 0);
  PrintFigure(Concat(size, "_bytes"), static_cast<double>(text.size()));
  MeasureReading(text, size);
  control::control_state state;
  uint64_t index = kFirstEntry;
  MeasureSubmission(text, Concat(size, "_first"), index++, &state);
  MeasureSubmission(SampleText(services - 1, 0), Concat(size, "_one_less"),
                    index++, &state);
  MeasureSubmission(SampleText(services, 1), Concat(size, "_all_moved"),
                    index++, &state);
  MeasureSubmission(SampleText(1, 1), Concat(size, "_all_but_one_gone"),
                    index++, &state);
}

/// The sizes named on the command line, or all of kSizes.
std::vector<int> WantedSizes(int count, char** arguments) {
  std::vector<int> sizes;
  for (int i = 1; i < count; ++i) {
    sizes.push_back(std::atoi(arguments[i]));
  }
  return sizes.empty() ? std::vector<int>(std::begin(kSizes), std::end(kSizes))
                       : sizes;
}

}  // namespace
}  // namespace cardamomroute::load

/// Usage: cardamomroute-measure-text [SERVICES...]
int main(int count, char** arguments) {
  for (const int services :
       cardamomroute::load::WantedSizes(count, arguments)) {
    cardamomroute::load::MeasureSize(services);
  }
}
