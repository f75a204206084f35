#ifndef CARDAMOMROUTE_SERVICES_SERVICES_TEST_SUPPORT_H_
#define CARDAMOMROUTE_SERVICES_SERVICES_TEST_SUPPORT_H_

#include <cstdint>
#include <string>

namespace cardamomroute {

struct services_text;

/// A text of any content that keeps all rules; draws from RapidCheck.
services_text AnyServices();

/// Changes the meaning of one thing in `text`, which is not empty.
void ChangeMeaning(services_text& text);

/// Writes `text` as some editor might: order of keys and lists, white space,
/// line ends, normalization form, escapes and a byte order mark all follow
/// from `seed`.
std::string WriteFreely(const services_text& text, uint32_t seed);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_SERVICES_SERVICES_TEST_SUPPORT_H_
