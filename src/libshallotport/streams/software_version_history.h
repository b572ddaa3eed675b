#ifndef SHALLOTPORT_STREAMS_SOFTWARE_VERSION_HISTORY_H_
#define SHALLOTPORT_STREAMS_SOFTWARE_VERSION_HISTORY_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// The software versions of each service's endpoints within the lifetime of a
// stream. If a service had only one, every stream of it that can still be
// resumed began at that one. Owned by entry_duty. Pure.
class software_version_history {
 public:
  void Record(steady_time seen_at,
              const service_id& service,
              const std::string& software_version);
  // Nullopt if there was none, or more than one.
  std::optional<std::string> SoleVersion(steady_time now,
                                         const service_id& service) const;

 private:
  // When each version was seen last.
  using seen_versions = std::map<std::string, steady_time>;

  std::map<service_id, seen_versions> by_service_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STREAMS_SOFTWARE_VERSION_HISTORY_H_
