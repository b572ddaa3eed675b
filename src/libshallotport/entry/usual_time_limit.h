#ifndef SHALLOTPORT_ENTRY_USUAL_TIME_LIMIT_H_
#define SHALLOTPORT_ENTRY_USUAL_TIME_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace shallotport {

// Learns which time limit the callers of each route usually state. A caller
// that returns after a refusal states what is left of it, and nothing else
// tells it from a new one. Owned by entry_duty. Pure.
class usual_time_limit {
 public:
  // Records the limit of a request, and returns how long ago its caller made
  // the first attempt; 0 for a new request.
  std::chrono::milliseconds RecordAndGetElapsed(
      const std::string& route,
      std::chrono::milliseconds time_limit);

 private:
  // A majority vote over the stream of limits (Boyer and Moore).
  struct majority {
    std::chrono::milliseconds limit{0};
    uint32_t votes = 0;
  };

  std::map<std::string, majority> by_route_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_USUAL_TIME_LIMIT_H_
