#ifndef SHALLOTPORT_ACCOUNTS_WINDOW_COUNT_H_
#define SHALLOTPORT_ACCOUNTS_WINDOW_COUNT_H_

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "base/clock.h"

namespace shallotport {

// Counts events of the last `window`, in steps of a tenth of a second. An event
// counts for up to a step longer than the window. Pure.
class window_count {
 public:
  explicit window_count(duration window) : window_(window) {}

  void Add(steady_time now, uint32_t events);
  // Takes the newest ones back. Returns how many there were.
  uint32_t Remove(steady_time now, uint32_t events);
  uint32_t Sum(steady_time now);
  // Until at most `most` events are counted, if none is added.
  duration TimeUntil(steady_time now, uint32_t most);

  // Counts by age, in steps of kReportStep: the newest first.
  std::vector<uint32_t> CountsByAge(steady_time now);
  // Adds what another host has counted.
  void AddByAge(steady_time now, std::span<const uint32_t> counts);

  // Adds, or takes back, what `other` has counted, at the times when it did.
  void AddCounts(const window_count& other);
  void RemoveCounts(const window_count& other);

 private:
  struct step {
    int64_t number = 0;  // Of kStep since the clock's start.
    uint32_t events = 0;
  };

  void Expire(steady_time now);
  void AddAt(int64_t number, uint32_t events);

  duration window_;
  std::deque<step> steps_;  // By number.
  uint32_t sum_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_WINDOW_COUNT_H_
