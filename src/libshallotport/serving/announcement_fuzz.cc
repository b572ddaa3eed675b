#include <cstddef>
#include <cstdint>
#include <string_view>

#include "serving/endpoint_interface.h"
#include "serving/model_stream.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  (void)shallotport::ParseAnnouncement(bytes);
  shallotport::model_stream_reader reader("r.1");
  (void)reader.AddBytes(bytes);
  (void)shallotport::ReplaceAnswerId(bytes, "r.1", "request");
  return 0;
}
