#include "entry/event_sequence.h"

#include <charconv>
#include <limits>

namespace shallotport {

std::optional<uint64_t> ParseEventNumber(std::string_view id) {
  uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto read = std::from_chars(id.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

event_sequence::event_sequence(std::string_view last_event)
    : last_(last_event.empty() ? 0 : ParseEventNumber(last_event)) {}

event_place event_sequence::Place(const event_fields& event) {
  if (event.type == "error") {
    return event_place::kOutOfOrder;
  }
  if (!event.id && !event.has_data) {
    return event_place::kNone;
  }
  const std::optional<uint64_t> number =
      ParseEventNumber(event.id.value_or(""));
  const bool has_next =
      last_.has_value() && *last_ < std::numeric_limits<uint64_t>::max();
  if (!number || !has_next || *number != *last_ + 1) {
    return event_place::kOutOfOrder;
  }
  last_ = number;
  return event_place::kFollows;
}

}  // namespace shallotport
