#ifndef SHALLOTPORT_JOBSTORE_ACCEPTED_ROUTE_H_
#define SHALLOTPORT_JOBSTORE_ACCEPTED_ROUTE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotport {

// The route that a job was accepted on.
struct accepted_route {
  std::string prefix;  // Ends with a slash.
  // Of the configuration that the accepting host had in force; nullopt: the
  // host is of a build that does not say so.
  std::optional<uint64_t> version;

  bool operator==(const accepted_route&) const = default;
};

// job_submission::prefix holds both: commands and snapshots have a fixed list
// of fields, and no build reads this one for anything else.
std::string FormatAcceptedRoute(const accepted_route& accepted);
accepted_route ParseAcceptedRoute(std::string_view field);

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ACCEPTED_ROUTE_H_
