#ifndef CARDAMOMROUTE_BASE_JSON_SCHEMA_H_
#define CARDAMOMROUTE_BASE_JSON_SCHEMA_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/result.h"

namespace cardamomroute {

class json_text;

/// Checks a document against a JSON schema (draft 7): one kSchemaViolation
/// for each fault, in the order of the text, at most kMaxFaults. Arrays that
/// are longer than the schema allows are reported alone. The schema may use
/// type, enum, properties, required, additionalProperties (false), items as
/// one schema, and bounds; it must not use references and combinations.
std::vector<error> CheckSchema(const json_text& document,
                               const nlohmann::json& schema);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_JSON_SCHEMA_H_
