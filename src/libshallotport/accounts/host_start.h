#ifndef SHALLOTPORT_ACCOUNTS_HOST_START_H_
#define SHALLOTPORT_ACCOUNTS_HOST_START_H_

#include <cstdint>
#include <string>

#include "base/digest.h"

namespace shallotport {

// One start of an entry host. An entry host reports what it has sent since its
// own start; what it sent before a restart is known to the stores alone.
struct host_start {
  std::string host;
  uint64_t start_id = 0;  // Of its announcement.

  uint64_t Key() const { return HashOf(host, start_id); }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_HOST_START_H_
