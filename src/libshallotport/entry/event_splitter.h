#ifndef SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_
#define SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "entry/event_sequence.h"

namespace shallotport {

// Splits the bytes of one endpoint's event stream into complete events. A
// partial event is held back until its rest arrives, because the stream may
// break in the middle of it. With a sequence, nothing is returned from the
// first event on that does not follow, and nothing before the first one that
// does.
class event_splitter {
 public:
  event_splitter() = default;
  explicit event_splitter(event_sequence sequence) : sequence_(sequence) {}

  // Adds bytes and returns the events that are now complete, unchanged.
  std::string Feed(std::string_view bytes);
  // Discards a partial event of an attempt that ended.
  void Reset() { partial_.clear(); }

  // The last Feed() ended an event, which may be a comment or held back.
  bool has_ended_event() const { return has_ended_event_; }
  bool has_partial() const { return !partial_.empty(); }
  // An event did not follow: the stream is not the one that was begun.
  bool is_out_of_order() const { return is_out_of_order_; }
  // The event that is being received is longer than any event.
  bool is_overlong() const;
  // What was held back of a stream that has ended without a numbered event.
  std::string TakeHeldBack() { return std::exchange(held_back_, {}); }
  // Whether an event followed.
  bool has_first() const { return has_first_; }
  // The id of the last complete event; empty if none had one.
  const std::string& last_id() const { return last_id_; }
  // The data of the events that the last Feed() returned, each followed by a
  // line feed.
  const std::string& data() const { return data_; }

 private:
  // Whether the event may be sent on.
  bool ParseEvent(std::string_view event);

  std::optional<event_sequence> sequence_;
  std::string partial_;
  std::string held_back_;
  bool has_ended_event_ = false;
  bool has_first_ = false;
  bool is_out_of_order_ = false;
  std::string last_id_;
  std::string data_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_
