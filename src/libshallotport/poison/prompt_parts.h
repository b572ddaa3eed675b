#ifndef SHALLOTPORT_POISON_PROMPT_PARTS_H_
#define SHALLOTPORT_POISON_PROMPT_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shallotport {

class header_list;

// Key of a part of a prompt: a hash of the id that the caller gave it.
using prompt_part = uint64_t;

// Of one request, so that a caller cannot make a host keep many.
inline constexpr size_t kMaxSharedParts = 32;

// The parts of a prompt that other requests may share, in the prompt's order
// and without repetitions. The header field `name` lists all parts as
// comma-separated ID:TOKENS entries; the last one belongs to the request or its
// session alone. Bounded; entries without an id are passed over.
std::vector<prompt_part> SharedPromptParts(const header_list& headers,
                                           std::string_view name);

// "1f00,2a3b", for log lines.
std::string FormatPromptParts(const std::vector<prompt_part>& parts);

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_PROMPT_PARTS_H_
