#ifndef SHALLOTPORT_BASE_RESULT_H_
#define SHALLOTPORT_BASE_RESULT_H_

#include <utility>
#include <variant>

#include "base/error.h"

namespace shallotport {

// Either a value or the reason why there is none.
template <typename T>
using result = std::variant<T, error>;

// The value of operations that only succeed or fail.
struct success {};
using status = result<success>;

template <typename T>
bool IsOk(const std::variant<T, error>& outcome) {
  return outcome.index() == 0;
}

// The value; the outcome must be ok.
template <typename T>
T& ValueOf(std::variant<T, error>& outcome) {
  return std::get<0>(outcome);
}
template <typename T>
const T& ValueOf(const std::variant<T, error>& outcome) {
  return std::get<0>(outcome);
}
template <typename T>
T&& ValueOf(std::variant<T, error>&& outcome) {
  return std::get<0>(std::move(outcome));
}

// The error; the outcome must not be ok.
template <typename T>
const error& ErrorOf(const std::variant<T, error>& outcome) {
  return std::get<1>(outcome);
}

// Builds an error with no retry delay.
inline error MakeError(error_kind kind, std::string detail) {
  return error{kind, std::move(detail), std::chrono::milliseconds{0}};
}

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_RESULT_H_
