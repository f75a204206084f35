#ifndef CARDAMOMROUTE_SERVICES_SERVICE_READER_H_
#define CARDAMOMROUTE_SERVICES_SERVICE_READER_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/fault_list.h"
#include "services/service_text.h"

namespace cardamomroute::internal {

/// Turns a document that keeps the schema into services, and notes what the
/// schema cannot say.
class service_reader {
 public:
  explicit service_reader(const json_text& document);

  /// The services in the order of the document, or every fault.
  checked_result<std::vector<service_text>> Read();

 private:
  using pointer = nlohmann::json::json_pointer;

  service_text ReadService(const nlohmann::json& written, const pointer& at);
  endpoint ReadAddress(const nlohmann::json& service, const pointer& at);
  void ReadCalls(const nlohmann::json& written, const pointer& at,
                 service_text& service);
  call_text ReadCall(const nlohmann::json& written, const pointer& at);
  std::string ReadName(const nlohmann::json& owner, const pointer& at);
  void NoteService(size_t index, const service_text& service);
  void CheckDependencies(const std::vector<service_text>& services);
  void NoteCycles(const std::vector<service_text>& services,
                  const std::vector<std::vector<size_t>>& dependencies);

  const json_text& document_;
  fault_list faults_;
  absl::flat_hash_map<std::string, size_t> names_;
  absl::flat_hash_map<endpoint, size_t> addresses_;
};

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_SERVICES_SERVICE_READER_H_
