#ifndef SHALLOTPORT_SHALLOTPORTD_DAEMON_H_
#define SHALLOTPORT_SHALLOTPORTD_DAEMON_H_

#include <memory>

#include "base/result.h"
#include "settings/host_settings.h"

namespace shallotport {

// One host of the system: all its duties, composed from the settings.
class daemon {
 public:
  // Opens sockets and files; nothing runs yet.
  static result<std::unique_ptr<daemon>> Create(const host_settings& settings);
  ~daemon();

  // Starts the duties, the listening interfaces last.
  status Start();

  // Graceful stop: not ready first, then no new requests, then waits for those
  // under way within the settings' bound, then stops every duty.
  void Stop();

 private:
  struct parts;
  explicit daemon(std::unique_ptr<parts> made);

  std::unique_ptr<parts> parts_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_DAEMON_H_
