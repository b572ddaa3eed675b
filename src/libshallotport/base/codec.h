#ifndef SHALLOTPORT_BASE_CODEC_H_
#define SHALLOTPORT_BASE_CODEC_H_

// Encodes and decodes typed messages with cereal. Heavy to compile: include it
// from .cc files only. Bytes are little-endian, as are all supported hosts.
//
// A message type needs either a member template `serialize(Archive&)` or free
// functions, and includes the cereal/types headers of its own members.

#include <cereal/archives/binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <string_view>

#include "base/checked_input_archive.h"
#include "base/result.h"

namespace shallotport {

template <typename T>
std::string Encode(const T& message) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(message);
  return std::move(out).str();
}

// Fails with kCorrupt for bytes that are no encoded T, or have bytes left over.
template <typename T>
result<T> Decode(std::string_view bytes) {
  try {
    checked_input_archive archive(bytes);
    T message{};
    archive(message);
    if (!archive.IsAtEnd()) {
      return MakeError(error_kind::kCorrupt, "bytes after the message");
    }
    return message;
  } catch (const std::exception& failure) {
    return MakeError(error_kind::kCorrupt, failure.what());
  }
}

// As Decode(), but passes over bytes after the known fields: later builds may
// add fields at the end of such a message.
template <typename T>
result<T> DecodeGrowing(std::string_view bytes) {
  try {
    checked_input_archive archive(bytes);
    T message{};
    archive(message);
    return message;
  } catch (const std::exception& failure) {
    return MakeError(error_kind::kCorrupt, failure.what());
  }
}

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_CODEC_H_
