#ifndef SHALLOTPORT_SERVING_JSONL_ITEMS_H_
#define SHALLOTPORT_SERVING_JSONL_ITEMS_H_

#include <string_view>
#include <vector>

#include "base/result.h"

namespace shallotport {

// Longest line of a batch job's body, in bytes.
inline constexpr size_t kMaxItemBytes = 256 * 1024;

// Cuts a JSONL body into its lines; blank lines are left out. The views point
// into `body`. Fails with kInvalidRequest, naming the line, for a line that is
// no JSON object in UTF-8 or exceeds kMaxItemBytes.
result<std::vector<std::string_view>> CutItems(std::string_view body);

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_JSONL_ITEMS_H_
