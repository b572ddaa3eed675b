#ifndef SHALLOTPORT_FLEET_DOCUMENT_DELTA_H_
#define SHALLOTPORT_FLEET_DOCUMENT_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace shallotport {

// A stretch of a text: either copied from the base or given.
struct delta_part {
  uint32_t base_offset = 0;
  uint32_t copied_bytes = 0;  // 0: `bytes` are inserted.
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(base_offset, copied_bytes, bytes);
  }
};

// The parts of which a text consists, in order, given another one. The content
// is opaque: routes or accounts that changed, came or went cost their own size
// and some bytes more.
using document_delta = std::vector<delta_part>;

document_delta MakeDelta(std::string_view base, std::string_view target);
// What the parts take in a message, roughly.
size_t EncodedSize(const document_delta& delta);
// kCorrupt: a part lies beyond the base, or the text has another size.
result<std::string> ApplyDelta(std::string_view base,
                               const document_delta& delta,
                               size_t target_size);

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_DELTA_H_
