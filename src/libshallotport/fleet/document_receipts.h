#ifndef SHALLOTPORT_FLEET_DOCUMENT_RECEIPTS_H_
#define SHALLOTPORT_FLEET_DOCUMENT_RECEIPTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// Which of the linked hosts have the newest configuration, as they say
// themselves. Pure; owned by a control host, which records what its links
// carry.
class document_receipts {
 public:
  // The newest document that hosts are to have; older versions are ignored.
  void Publish(steady_time now, uint64_t version);
  // `host` is linked and has `version` in force. 0: none.
  void Record(const host_id& host, uint64_t version);
  // The link to `host` is gone.
  void Remove(const host_id& host);

  // No linked host has an older version.
  bool IsConfirmed(uint64_t version) const;
  // Linked hosts that have not had the newest version for `age` since it, or
  // one that they lack as well, was published.
  std::vector<host_id> BehindFor(steady_time now, duration age) const;
  // Of the host that has been behind for the longest time; 0: none is behind.
  duration LongestBehind(steady_time now) const;
  // Linked hosts without the newest version.
  size_t BehindCount() const;

  uint64_t newest() const {
    return published_.empty() ? 0 : published_.back().version;
  }

 private:
  struct publication {
    uint64_t version = 0;
    steady_time at{};
  };

  // How long a host with `version` has lacked a newer one.
  duration Lag(steady_time now, uint64_t version) const;
  void Forget();

  std::deque<publication> published_;  // Rising; those that some host lacks.
  std::map<host_id, uint64_t> confirmed_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_RECEIPTS_H_
