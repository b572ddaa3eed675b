#ifndef SHALLOTPORT_FLEET_KNOWN_STATE_FILE_H_
#define SHALLOTPORT_FLEET_KNOWN_STATE_FILE_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

class file_system;

// What a control host knew when it was last heard of: the newest configuration
// that it saw committed, and the endpoints.
struct known_state {
  configuration_document document;
  std::vector<endpoint_report> reports;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(document, reports);
  }
};

// Keeps a known_state in a file, so that entry hosts can serve as soon as the
// processes are back after all of them were killed or lost power at once: a new
// leader and the endpoints' own reports take seconds. The file is a hint: the
// group's log remains the truth about the configuration, and requests name the
// endpoint that they expect.
class known_state_file {
 public:
  known_state_file(file_system& files, std::string folder);

  // Durable when it returns.
  status Save(const known_state& state);
  // Empty when there is no whole file.
  known_state Load() const;

 private:
  file_system& files_;
  const std::string folder_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_KNOWN_STATE_FILE_H_
