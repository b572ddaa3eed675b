#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "control/configuration_parser.h"

// Any bytes either fail with an error or give a configuration that survives
// printing and reading.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = shallotport::ParseConfiguration(text, "fuzz");
  if (!shallotport::IsOk(parsed)) {
    return 0;
  }
  const auto printed =
      shallotport::PrintConfiguration(shallotport::ValueOf(parsed));
  const auto again = shallotport::ParseConfiguration(printed, "again");
  if (!shallotport::IsOk(again) ||
      !(shallotport::ValueOf(again) == shallotport::ValueOf(parsed))) {
    std::abort();
  }
  return 0;
}
