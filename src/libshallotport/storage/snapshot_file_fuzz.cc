#include <cstddef>
#include <cstdint>
#include <string_view>

#include "storage/fake_file_system_test_util.h"
#include "storage/file_header.h"
#include "storage/snapshot_file_reader.h"

// Reads any bytes after a right header as a snapshot file.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  fake_file_system files;
  {
    auto file = files.Open("/data/any");
    ValueOf(file)->Append(EncodeFileHeader({kSnapshotFormat, 1, 1}));
    ValueOf(file)->Append(
        std::string_view(reinterpret_cast<const char*>(data), size));
  }
  auto reader = snapshot_file_reader::Open(files, "/data/any", 1, 1);
  if (IsOk(reader)) {
    (void)ValueOf(reader).Verify();
  }
  return 0;
}
