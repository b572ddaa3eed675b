#include "storage/file_header.h"

#include <cstring>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr size_t kVersionOffset = 8;
constexpr size_t kGroupOffset = 12;
constexpr size_t kNumberOffset = 16;
constexpr size_t kChecksumOffset = 24;

template <typename T>
void PutNumber(std::string& bytes, size_t offset, T value) {
  std::memcpy(bytes.data() + offset, &value, sizeof(T));
}

template <typename T>
T NumberAt(std::string_view bytes, size_t offset) {
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof(T));
  return value;
}

}  // namespace

std::string EncodeFileHeader(const file_header& header) {
  std::string bytes(kFileHeaderBytes, '\0');
  bytes.replace(0, header.format.size(), header.format);
  PutNumber(bytes, kVersionOffset, kFileFormatVersion);
  PutNumber(bytes, kGroupOffset, header.group);
  PutNumber(bytes, kNumberOffset, header.number);
  PutNumber(bytes, kChecksumOffset,
            HashOf(std::string_view(bytes).substr(0, kChecksumOffset)));
  return bytes;
}

status CheckFileHeader(std::string_view bytes, const file_header& expected) {
  const auto corrupt = [](std::string detail) {
    return MakeError(error_kind::kCorrupt, std::move(detail));
  };
  if (bytes.size() < kFileHeaderBytes) {
    return corrupt("header is cut short");
  }
  if (bytes.substr(0, kVersionOffset) != expected.format) {
    return corrupt("not a file of this kind");
  }
  const auto version = NumberAt<uint32_t>(bytes, kVersionOffset);
  if (version != kFileFormatVersion) {
    return corrupt("format version " + std::to_string(version) +
                   ", this program reads " +
                   std::to_string(kFileFormatVersion));
  }
  if (NumberAt<uint64_t>(bytes, kChecksumOffset) !=
      HashOf(bytes.substr(0, kChecksumOffset))) {
    return corrupt("header checksum differs");
  }
  const auto group = NumberAt<uint32_t>(bytes, kGroupOffset);
  if (group != expected.group) {
    return corrupt("belongs to group " + std::to_string(group));
  }
  if (NumberAt<uint64_t>(bytes, kNumberOffset) != expected.number) {
    return corrupt("number in the header differs from the name");
  }
  return success{};
}

}  // namespace shallotport
