#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "storage/fake_file_system_test_util.h"
#include "storage/file_header.h"
#include "storage/write_ahead_log.h"

// Opens a log whose only segment has a right header and any content, then
// appends to it and opens it again: what was accepted once stays.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  fake_file_system files;
  const std::string path = "/data/log-0000000001.wal";
  {
    auto file = files.Open(path);
    const std::string_view content(reinterpret_cast<const char*>(data), size);
    ValueOf(file)->Append(EncodeFileHeader({kLogFormat, 1, 1}));
    ValueOf(file)->Append(content);
  }
  size_t first = 0;
  auto log = write_ahead_log::Open(files, {"/data", 1}, [&](const log_record&) {
    ++first;
    return status(success{});
  });
  if (!IsOk(log)) {
    return 0;
  }
  ValueOf(log)->Append(1, "more");
  if (!IsOk(ValueOf(log)->Sync())) {
    __builtin_trap();
  }
  size_t second = 0;
  const auto again =
      write_ahead_log::Open(files, {"/data", 1}, [&](const log_record&) {
        ++second;
        return status(success{});
      });
  if (!IsOk(again) || second != first + 1) {
    __builtin_trap();
  }
  return 0;
}
