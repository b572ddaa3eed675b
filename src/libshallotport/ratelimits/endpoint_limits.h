#ifndef SHALLOTPORT_RATELIMITS_ENDPOINT_LIMITS_H_
#define SHALLOTPORT_RATELIMITS_ENDPOINT_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "fleet/endpoint_start.h"
#include "ratelimits/limit_messages.h"

namespace shallotport {

// The requests a second that endpoints take from all hosts together, as they
// name them in their answers, and how much of that this host may use. A limit
// is of one start of an endpoint; it holds until an answer of that start, or a
// later one, does not name it.
//
// The leader of the job group grants slots to all hosts, and uses limits whole:
// share 1. While it is heard, the other hosts send to an endpoint with a limit
// by its grants only: share 0. Without it, each host uses an equal share.
// Owned by the component that selects endpoints. Pure and bounded.
class endpoint_limits {
 public:
  // What an answer said; nullopt: it named no limit. True if that is a change.
  bool RecordAnswer(steady_time now,
                    const endpoint_start& start,
                    std::optional<double> per_second);
  // Adds what other hosts know, where that is newer. True if it changes what is
  // known here.
  bool Merge(steady_time now, const std::vector<limit_record>& records);

  // Which part of each limit this host uses by its own decision.
  void SetShare(steady_time now, double share);

  bool IsLimited(const endpoint_start& start) const;
  // Whether another request may be sent to the endpoint now. Batch requests
  // leave half of what has accumulated to online requests.
  bool MaySend(steady_time now,
               const endpoint_start& start,
               bool is_batch) const;
  void RecordSent(steady_time now, const endpoint_start& start);
  // Until MaySend() is true for an online request; nullopt: never, by own
  // decision.
  std::optional<duration> WaitFor(steady_time now,
                                  const endpoint_start& start) const;
  // Of the whole limit; 0 if there is none.
  double PerSecond(const endpoint_start& start) const;

  // Rises with each change of a limit.
  uint64_t change_count() const { return change_count_; }
  // What is known and not out of date, for other hosts.
  std::vector<limit_record> Records(steady_time now) const;
  // Of that, what a host with these records does not know.
  std::vector<limit_record> NewerThan(
      steady_time now,
      const std::vector<limit_record>& known) const;

  size_t limited_count() const;

 private:
  struct limit_state {
    uint64_t start_time_ms = 0;
    bool is_limited = false;
    double per_second = 0;
    steady_time heard_at{};
    // Requests that may be sent at once, as of `filled_at`.
    double available = 0;
    steady_time filled_at{};
  };

  bool Apply(const endpoint_start& start,
             steady_time heard_at,
             std::optional<double> per_second);
  const limit_state* Find(const endpoint_start& start) const;
  double Capacity(const limit_state& state) const;
  double Available(steady_time now, const limit_state& state) const;
  void RemoveOldest();

  double share_ = 0;
  uint64_t change_count_ = 0;
  std::map<endpoint_id, limit_state> limits_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_RATELIMITS_ENDPOINT_LIMITS_H_
