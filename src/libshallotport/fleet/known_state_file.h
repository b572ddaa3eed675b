#ifndef SHALLOTPORT_FLEET_KNOWN_STATE_FILE_H_
#define SHALLOTPORT_FLEET_KNOWN_STATE_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

class file_system;

// The last state that a control host knew: the newest configuration that it saw
// committed, and the endpoints.
struct known_state {
  configuration_document document;
  std::vector<endpoint_report> reports;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(document, reports);
  }
};

// Stores a known_state in two files, so that a leave does not write the
// configuration again. They are kept so that entry hosts can serve as soon as
// the processes are back after all of them were killed or lost power at once:
// electing a leader and collecting the endpoints' reports takes seconds. The
// files are only a hint: the log of the control group remains authoritative for
// the configuration, and each request names the endpoint that it expects.
class known_state_file {
 public:
  known_state_file(file_system& files, std::string folder);

  // Durable on return.
  status SaveReports(std::vector<endpoint_report> reports);
  status SaveDocument(const configuration_document& document);
  // What has no intact file is empty.
  known_state Load() const;

 private:
  status Write(const std::string& name, std::string_view body);
  // Empty: there is no intact file.
  std::string Read(const std::string& name) const;

  file_system& files_;
  const std::string folder_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_KNOWN_STATE_FILE_H_
