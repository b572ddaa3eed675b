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

// The value of "name: value", without the optional space. A line that is only a
// name has an empty value.
std::string_view ValueAfter(std::string_view line, size_t name_size) {
  std::string_view value = line.substr(std::min(line.size(), name_size + 1));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

std::string event_splitter::Feed(std::string_view bytes) {
  data_.clear();
  has_ended_event_ = false;
  if (is_out_of_order_) {
    return {};
  }
  partial_.append(bytes);
  std::string complete_events;
  size_t consumed = 0;
  for (size_t end = EndOfEvent(partial_, 0);
       end != std::string::npos && !is_out_of_order_;
       end = EndOfEvent(partial_, consumed)) {
    const auto event =
        std::string_view(partial_).substr(consumed, end - consumed);
    if (ParseEvent(event)) {
      complete_events.append(TakeHeldBack()).append(event);
    } else if (!is_out_of_order_) {
      held_back_.append(event);
    }
    consumed = end;
  }
  has_ended_event_ = consumed > 0;
  partial_.erase(0, consumed);
  return complete_events;
}

bool event_splitter::is_overlong() const {
  return partial_.size() + held_back_.size() > kMaxEventBytes;
}

bool event_splitter::ParseEvent(std::string_view event) {
  event_fields fields;
  std::string data;
  while (!event.empty()) {
    const size_t newline = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, newline);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    const std::string_view name = line.substr(0, line.find(':'));
    const std::string_view value = ValueAfter(line, name.size());
    if (name == "id") {
      fields.id = value;
    } else if (name == "event") {
      fields.type = value;
    } else if (name == "data") {
      fields.has_data = true;
      data.append(value).push_back('\n');
    }
    event.remove_prefix(newline + 1);
  }
  if (sequence_) {
    const event_place place = sequence_->Place(fields);
    is_out_of_order_ = place == event_place::kOutOfOrder;
    has_first_ = has_first_ || place == event_place::kFollows;
    if (is_out_of_order_ || !has_first_) {
      return false;
    }
  }
  has_first_ = true;
  if (fields.id) {
    last_id_ = *fields.id;
  }
  data_.append(data);
  return true;
}

}  // namespace shallotport
