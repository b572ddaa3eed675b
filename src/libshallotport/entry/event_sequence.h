#ifndef SHALLOTPORT_ENTRY_EVENT_SEQUENCE_H_
#define SHALLOTPORT_ENTRY_EVENT_SEQUENCE_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace shallotport {

// The fields of one event that tell its place in a stream.
struct event_fields {
  std::optional<std::string_view> id;
  std::string_view type;
  bool has_data = false;
};

enum class event_place : uint8_t {
  kFollows,     // The event after the last one.
  kNone,        // Neither a number nor data, as comments that keep alive.
  kOutOfOrder,  // No event of the stream, or another one.
};

// The number of an event; nothing if its id is no decimal number, or too large.
std::optional<uint64_t> ParseEventNumber(std::string_view id);

// The numbers of one run's events. Endpoints number the events of a stream from
// 1 without gaps; a run that goes on after event n begins with n + 1. Any other
// event means that the run is not the rest of what the caller has. Pure.
class event_sequence {
 public:
  // `last_event`: the id of the last event that the caller has; empty if the
  // stream begins.
  explicit event_sequence(std::string_view last_event);

  // Advances if the event follows.
  event_place Place(const event_fields& event);

 private:
  std::optional<uint64_t> last_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_EVENT_SEQUENCE_H_
