#include <cstddef>
#include <cstdint>
#include <string_view>

#include "serving/jsonl_items.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  (void)shallotport::CutItems(
      std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}
