#ifndef CARDAMOMROUTE_OPERATORS_STATUS_RENDERER_H_
#define CARDAMOMROUTE_OPERATORS_STATUS_RENDERER_H_

#include <nlohmann/json.hpp>
#include <string>

#include "operators/language.h"

namespace cardamomroute {

/// A status document for people: each plain member on a line "key: value",
/// then each list of objects as a table with one column a member, all in the
/// order of the document, then "metrics" as tables with one row a metric.
/// Headings are in the wanted language; columns are padded by the width of
/// characters (Unicode Standard Annex 11).
std::string RenderTables(const nlohmann::ordered_json& status,
                         language wanted = language::kEn);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_STATUS_RENDERER_H_
