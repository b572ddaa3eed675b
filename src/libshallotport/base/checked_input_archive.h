#ifndef SHALLOTPORT_BASE_CHECKED_INPUT_ARCHIVE_H_
#define SHALLOTPORT_BASE_CHECKED_INPUT_ARCHIVE_H_

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace shallotport {

// Reads what cereal::BinaryOutputArchive wrote, from memory. Unlike cereal's
// own reader it rejects a container length that exceeds the bytes left, so
// that a damaged or hostile message cannot demand a huge allocation.
class checked_input_archive
    : public cereal::InputArchive<checked_input_archive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit checked_input_archive(std::string_view bytes)
      : InputArchive<checked_input_archive, cereal::AllowEmptyClassElision>(
            this),
        rest_(bytes) {}

  void ReadBinary(void* data, size_t size) {
    if (size > rest_.size()) {
      throw cereal::Exception("message ends early");
    }
    if (size == 0) {
      return;  // An empty container's data may be null.
    }
    std::memcpy(data, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  // Checks a container's element count; every element takes at least a byte.
  void CheckCount(uint64_t count) const {
    if (count > rest_.size()) {
      throw cereal::Exception("container length exceeds the message");
    }
  }

  bool IsAtEnd() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(checked_input_archive& archive, T& value) {
  archive.ReadBinary(std::addressof(value), sizeof(value));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(checked_input_archive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(checked_input_archive& archive,
                                    cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckCount(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(checked_input_archive& archive,
                               cereal::BinaryData<T>& data) {
  archive.ReadBinary(data.data, static_cast<size_t>(data.size));
}

}  // namespace shallotport

CEREAL_REGISTER_ARCHIVE(shallotport::checked_input_archive)

// Pairs the reader with the writer. The library's macro would also pair the
// writer with this reader, which the library has already done with its own.
template <>
struct cereal::traits::detail::get_output_from_input<
    shallotport::checked_input_archive> {
  using type = cereal::BinaryOutputArchive;
};

#endif  // SHALLOTPORT_BASE_CHECKED_INPUT_ARCHIVE_H_
