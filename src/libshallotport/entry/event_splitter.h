#ifndef SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_
#define SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace shallotport {

// Splits the bytes of one endpoint's event stream into complete events. A
// partial event is held back until its rest arrives, because the stream may
// break in the middle of it.
class event_splitter {
 public:
  // Adds bytes and returns the events that are now complete, unchanged.
  std::string Feed(std::string_view bytes);
  // Discards a partial event of an attempt that ended.
  void Reset() { partial_.clear(); }

  bool has_partial() const { return !partial_.empty(); }
  // The event that is being received is longer than any event.
  bool is_overlong() const;
  // The id of the last complete event; empty if none had one.
  const std::string& last_id() const { return last_id_; }
  // The data of the events that the last Feed() returned, each followed by a
  // line feed.
  const std::string& data() const { return data_; }

 private:
  void ParseEvent(std::string_view event);

  std::string partial_;
  std::string last_id_;
  std::string data_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_
