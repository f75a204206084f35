#ifndef CARDAMOMROUTE_OPERATORS_DETAIL_PHRASES_H_
#define CARDAMOMROUTE_OPERATORS_DETAIL_PHRASES_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "operators/answer_table.h"

namespace cardamomroute {

constexpr size_t kPhraseCount = 97;

/// Details of faults in all languages. "{0}" and "{1}" stand for what a detail
/// quotes. The English text is that of error::detail; the first that matches
/// counts.
extern const std::array<localized_text, kPhraseCount> kPhrases;

/// `detail`, which is in English, in the wanted language. What it quotes stays
/// as it is; a detail that is not among the phrases stays in English. One that
/// is two details with "; " between is translated part by part.
std::string LocalizeDetail(std::string_view detail, language wanted);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_DETAIL_PHRASES_H_
