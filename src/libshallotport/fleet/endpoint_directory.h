#ifndef SHALLOTPORT_FLEET_ENDPOINT_DIRECTORY_H_
#define SHALLOTPORT_FLEET_ENDPOINT_DIRECTORY_H_

#include <map>
#include <vector>

#include "base/clock.h"
#include "fleet/endpoint_report.h"

namespace shallotport {

// The endpoints as known from their reports, which come late, twice, out of
// order and through several control hosts. Pure. Endpoints that left are
// remembered for a while, so that a report on its way does not bring them
// back.
class endpoint_directory {
 public:
  struct entry {
    endpoint_report report;
    steady_time received_at{};
  };

  // Takes a report in; false when a newer one is known, or the same.
  bool Apply(steady_time now, const endpoint_report& report);
  // Forgets endpoints that left or were silent for long.
  void Expire(steady_time now);

  const entry* Find(const endpoint_id& endpoint) const;
  const std::map<endpoint_id, entry>& entries() const { return entries_; }
  // All reports with their present age.
  std::vector<endpoint_report> Reports(steady_time now) const;

 private:
  std::map<endpoint_id, entry> entries_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_ENDPOINT_DIRECTORY_H_
