#ifndef SHALLOTPORT_ENTRY_DECISION_LOG_H_
#define SHALLOTPORT_ENTRY_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace shallotport {

struct log_field {
  log_field(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  log_field(std::string_view name, const char* value)
      : name(name), value(value) {}
  log_field(std::string_view name, int64_t number)
      : name(name), value(std::to_string(number)) {}

  std::string_view name;
  std::string value;
};

// Writes a process's decisions to standard output, one line each: "time=<wall
// ms> host=<name> event=<event> <field>=<value> ...". Lines about requests are
// rate-limited so that a burst of failures does not slow down requests; the
// next line that is written tells how many were dropped. A line that standard
// output does not accept at once is dropped and counted as well.
class decision_log {
 public:
  decision_log(const clock_source& clock, std::string host);

  // About a single request: rate-limited.
  void LogRequest(std::string_view event,
                  std::initializer_list<log_field> fields);
  // About the process: never rate-limited.
  void LogState(std::string_view event,
                std::initializer_list<log_field> fields);

  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  void Write(std::string_view event, std::initializer_list<log_field> fields);

  const clock_source& clock_;
  const std::string host_;
  steady_time last_refill_{};
  double budget_;
  uint64_t unreported_drops_ = 0;
  uint64_t dropped_lines_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_DECISION_LOG_H_
