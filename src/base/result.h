#ifndef CARDAMOMROUTE_BASE_RESULT_H_
#define CARDAMOMROUTE_BASE_RESULT_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

#include "base/error_kind.h"

namespace cardamomroute {

/// A failure, with its place.
struct error {
  error_kind kind;
  /// Where: a file with line and column, a JSON pointer, a peer; may be empty.
  std::string place;
  /// Plain detail for logs and for the operator, in English; may be empty.
  std::string detail;
};

/// A value or an error. Reading the side that is absent ends the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

/// "code place: detail", for logs.
std::string Describe(const error& failure);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_RESULT_H_
