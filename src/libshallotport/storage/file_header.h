#ifndef SHALLOTPORT_STORAGE_FILE_HEADER_H_
#define SHALLOTPORT_STORAGE_FILE_HEADER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace shallotport {

// The first bytes of each file of the replicated log:
//   name of the format (8 bytes), format version u32, group u32, number u64,
//   checksum u64.
inline constexpr size_t kFileHeaderBytes = 32;
inline constexpr uint32_t kFileFormatVersion = 1;
inline constexpr std::string_view kLogFormat = "SHALLOTL";
inline constexpr std::string_view kSnapshotFormat = "SHALLOTS";

struct file_header {
  std::string_view format;  // kLogFormat or kSnapshotFormat.
  uint32_t group = 0;
  uint64_t number = 0;  // Segment number, or index of a snapshot.
};

std::string EncodeFileHeader(const file_header& header);

// kCorrupt when `bytes` do not begin with exactly this header; the detail says
// what differs.
status CheckFileHeader(std::string_view bytes, const file_header& expected);

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_FILE_HEADER_H_
