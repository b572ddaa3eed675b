#ifndef SHALLOTPORT_FLEET_HOST_DIRECTORY_H_
#define SHALLOTPORT_FLEET_HOST_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

// The hosts whose announcements were received, directly or through control
// hosts. Pure.
class host_directory {
 public:
  struct entry {
    host_announcement host;
    steady_time received_at{};
  };

  // Applies an announcement; true if it changes more than the time of receipt.
  bool Record(steady_time now, const host_announcement& host, uint32_t age_ms);
  void Expire(steady_time now);

  // Hosts of a role with an announcement no older than `within`.
  std::vector<host_announcement> LiveHosts(steady_time now,
                                           host_role role,
                                           duration within) const;
  const entry* Find(const host_id& host) const;
  const std::map<host_id, entry>& entries() const { return entries_; }

 private:
  std::map<host_id, entry> entries_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_HOST_DIRECTORY_H_
