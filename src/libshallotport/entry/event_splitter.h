#ifndef SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_
#define SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace shallotport {

// Cuts the bytes of one endpoint's event stream into whole events. A part of
// an event is held back until the rest comes: the run may end in between.
class event_splitter {
 public:
  // Adds bytes and returns the whole events that are now complete, unchanged.
  std::string Feed(std::string_view bytes);
  // Drops the part of an event of a run that ended.
  void Reset() { partial_.clear(); }

  bool has_partial() const { return !partial_.empty(); }
  // The id of the last whole event; empty before one.
  const std::string& last_id() const { return last_id_; }
  // The data of the events of the last Take(), each followed by a line feed.
  const std::string& data() const { return data_; }

 private:
  void ParseEvent(std::string_view event);

  std::string partial_;
  std::string last_id_;
  std::string data_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_EVENT_SPLITTER_H_
