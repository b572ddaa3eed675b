#ifndef SHALLOTPORT_FLEET_ENDPOINT_DIRECTORY_H_
#define SHALLOTPORT_FLEET_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "eventio/path_monitor.h"
#include "fleet/endpoint_report.h"

namespace shallotport {

// The endpoints known from their reports, which may be delayed, duplicated,
// reordered and received through several control hosts. An endpoint that left
// is kept for a while, so that a delayed report does not add it again. A start
// that goes on reporting after a leave that did not name it was not meant. An
// endpoint that starts again under its id with other software is kept as two:
// the former one, under an id that no endpoint has, has left. So has one that
// has not reported for long. Hosts that start later learn by it which versions
// served. Pure.
class endpoint_directory {
 public:
  struct entry {
    endpoint_report report;
    steady_time received_at{};
    // Of a start that has ended by a leave that did not name it: later reports
    // by the endpoint itself.
    uint32_t reports_after_leave = 0;
    uint64_t last_sequence_after_leave = 0;
  };
  enum class source : uint8_t {
    kEndpoint,
    kHost,  // Another host, which has applied it.
  };

  // Applies a report; false if it is stale or already known.
  bool Apply(steady_time now,
             const endpoint_report& report,
             source from = source::kEndpoint);
  // Other endpoints that started earlier at the report's address. They have
  // ended without a word, unless clocks are wrong: then they report again.
  std::vector<endpoint_id> EarlierAtAddress(
      const endpoint_report& report) const;
  // Removes endpoints that left or sent no report for a long time. The version
  // of a silent one is kept as long as that of one that left.
  void Expire(steady_time now);

  // Whether an endpoint that is known is at this address.
  bool HasAddress(const endpoint_address& address) const;
  const entry* Find(const endpoint_id& endpoint) const;
  const std::map<endpoint_id, entry>& entries() const { return entries_; }
  // All reports with their current age.
  std::vector<endpoint_report> Reports(steady_time now) const;

 private:
  void KeepFormerVersion(const entry& known, const endpoint_report& next);
  // Adds the endpoint's version under an id that no endpoint has.
  void AddFormer(const entry& known);

  std::map<endpoint_id, entry> entries_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_ENDPOINT_DIRECTORY_H_
