#include "consensus/snapshot_stream.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "storage/snapshot_file_writer.h"

namespace shallotport {

namespace {

constexpr size_t kRecordBytes = 256u << 10;

}  // namespace

snapshot_output_buffer::snapshot_output_buffer(snapshot_file_writer& file,
                                               uint8_t kind)
    : file_(file), kind_(kind) {}

bool snapshot_output_buffer::Flush() {
  std::string_view rest = pending_;
  while (IsOk(outcome_) && !rest.empty()) {
    outcome_ = file_.Append(kind_, rest.substr(0, kRecordBytes));
    rest.remove_prefix(std::min(kRecordBytes, rest.size()));
  }
  pending_.clear();
  return IsOk(outcome_);
}

status snapshot_output_buffer::Finish() {
  Flush();
  return outcome_;
}

snapshot_output_buffer::int_type snapshot_output_buffer::overflow(
    int_type character) {
  if (traits_type::eq_int_type(character, traits_type::eof())) {
    return traits_type::not_eof(character);
  }
  const char byte = traits_type::to_char_type(character);
  return xsputn(&byte, 1) == 1 ? character : traits_type::eof();
}

std::streamsize snapshot_output_buffer::xsputn(const char* bytes,
                                               std::streamsize count) {
  pending_.append(bytes, static_cast<size_t>(count));
  if (pending_.size() >= kRecordBytes && !Flush()) {
    return 0;
  }
  return count;
}

snapshot_input_buffer::snapshot_input_buffer(snapshot_file_reader& reader,
                                             uint8_t kind)
    : reader_(reader), kind_(kind), current_(reader.Next()) {
  if (IsOk(current_) && ValueOf(current_).kind == kind_) {
    std::string& bytes = ValueOf(current_).payload;
    setg(bytes.data(), bytes.data(), bytes.data() + bytes.size());
  }
}

snapshot_input_buffer::int_type snapshot_input_buffer::underflow() {
  while (gptr() == egptr()) {
    if (!IsOk(current_) || ValueOf(current_).kind != kind_) {
      return traits_type::eof();
    }
    current_ = reader_.Next();
    if (!IsOk(current_) || ValueOf(current_).kind != kind_) {
      setg(nullptr, nullptr, nullptr);
      return traits_type::eof();
    }
    std::string& bytes = ValueOf(current_).payload;
    setg(bytes.data(), bytes.data(), bytes.data() + bytes.size());
  }
  return traits_type::to_int_type(*gptr());
}

result<snapshot_record> snapshot_input_buffer::TakeFollowing() {
  while (IsOk(current_) && ValueOf(current_).kind == kind_) {
    current_ = reader_.Next();
  }
  return std::move(current_);
}

}  // namespace shallotport
