#ifndef CARDAMOMROUTE_BASE_LOG_FORMAT_H_
#define CARDAMOMROUTE_BASE_LOG_FORMAT_H_

#include <string>
#include <string_view>

namespace cardamomroute::internal {

/// `value` as a JSON string with its quotes; bytes that are not UTF-8 are
/// replaced by U+FFFD.
std::string QuotedText(std::string_view value);

/// Appends ` key=word`, or `,"key":word`; `word` is written as it is.
void AppendWord(std::string& line, bool json, std::string_view key,
                std::string_view word);

/// Appends ` key=value`, with quotes where the value would not read back as
/// one word without them, or `,"key":"value"`.
void AppendText(std::string& line, bool json, std::string_view key,
                std::string_view value);

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_BASE_LOG_FORMAT_H_
