#include "entry/event_splitter.h"

#include <algorithm>

namespace shallotport {

namespace {

constexpr size_t kMaxEventBytes = 1u << 20;

// Offset just past the empty line that ends the first complete event; npos if
// there is none.
size_t EndOfEvent(std::string_view bytes, size_t from) {
  size_t line = from;
  while (true) {
    const size_t newline = bytes.find('\n', line);
    if (newline == std::string_view::npos) {
      return std::string_view::npos;
    }
    const bool is_empty =
        newline == line || (newline == line + 1 && bytes[line] == '\r');
    if (is_empty) {
      return newline + 1;
    }
    line = newline + 1;
  }
}

// The value of "name: value", without the optional space.
std::string_view ValueAfter(std::string_view line, size_t name_size) {
  std::string_view value = line.substr(name_size);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

std::string event_splitter::Feed(std::string_view bytes) {
  data_.clear();
  partial_.append(bytes);
  size_t consumed = 0;
  for (size_t end = EndOfEvent(partial_, 0); end != std::string::npos;
       end = EndOfEvent(partial_, consumed)) {
    ParseEvent(std::string_view(partial_).substr(consumed, end - consumed));
    consumed = end;
  }
  std::string complete_events = partial_.substr(0, consumed);
  partial_.erase(0, consumed);
  return complete_events;
}

bool event_splitter::is_overlong() const {
  return partial_.size() > kMaxEventBytes;
}

void event_splitter::ParseEvent(std::string_view event) {
  while (!event.empty()) {
    const size_t newline = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, newline);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      last_id_ = ValueAfter(line, 3);
    } else if (line.starts_with("data:")) {
      data_.append(ValueAfter(line, 5)).push_back('\n');
    }
    event.remove_prefix(newline + 1);
  }
}

}  // namespace shallotport
