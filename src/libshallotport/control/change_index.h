#ifndef SHALLOTPORT_CONTROL_CHANGE_INDEX_H_
#define SHALLOTPORT_CONTROL_CHANGE_INDEX_H_

#include <map>

#include "control/configuration_messages.h"

namespace shallotport {

// Remembers at which revision each account and service last changed or went
// away, so that what changed after any revision can be told. A revision may be
// noted later than the true one, never earlier.
class change_index {
 public:
  static constexpr size_t kRemovalsKept = 4096;

  // Both configurations are sorted by id.
  void Track(const configuration& before,
             const configuration& after,
             log_index revision);

  // Everything is new at `revision`; what came before is not known.
  void Reset(const configuration& config, log_index revision);

  // What changed after `from`, given the configuration at revision `to`. Whole
  // when `from` lies before what is remembered.
  configuration_delta Since(log_index from,
                            log_index to,
                            const configuration& config) const;

  log_index floor() const { return floor_; }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account_changes_, service_changes_, account_removals_,
            service_removals_, floor_);
  }

 private:
  std::map<account_id, log_index> account_changes_;
  std::map<service_id, log_index> service_changes_;
  std::map<account_id, log_index> account_removals_;
  std::map<service_id, log_index> service_removals_;
  log_index floor_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CHANGE_INDEX_H_
