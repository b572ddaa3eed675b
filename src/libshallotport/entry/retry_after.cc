#include "entry/retry_after.h"

#include <cstdio>

namespace shallotport {

std::string FormatSeconds(int64_t milliseconds) {
  char text[32];
  std::snprintf(text, sizeof(text), "%lld.%03lld",
                static_cast<long long>(milliseconds / 1000),
                static_cast<long long>(milliseconds % 1000));
  return text;
}

}  // namespace shallotport
