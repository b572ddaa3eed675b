#ifndef SHALLOTPORT_POISON_CRASH_EXCHANGE_H_
#define SHALLOTPORT_POISON_CRASH_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "eventio/host_link.h"
#include "fleet/fleet_host.h"
#include "poison/crash_attribution.h"

namespace shallotport {

// Exchanges the records of crash_attribution with other hosts. Entry hosts send
// what they saw to a few job stores; a job store, whether or not it leads,
// sends what it saw, and what is new to it of what entry hosts sent, to all
// hosts that are linked to it, other stores included. Control hosts
// take no part. A host without a link to a store decides by what it saw itself.
// Owned by the duty of a host; runs on the event loop of `fleet`.
class crash_exchange {
 public:
  crash_exchange(fleet_host& fleet, crash_attribution& attribution);

  // Called for each part that is blocked or released. May be empty.
  std::function<void(const block_change& change)> on_change;

  // Called with the key of each start (StartKey()) that ended lately as another
  // host saw, and whether requests broke there. May be empty.
  std::function<void(uint64_t start_key, duration age, bool has_broken)>
      on_start_ended;

  void Tick(steady_time now);
  // False if the frame is of another kind.
  bool OnFrame(steady_time now,
               const host_link& link,
               uint8_t kind,
               std::string_view payload);
  // A host has announced itself on a link to this job store.
  void OnHostLinked(steady_time now, host_link& link);

  uint64_t malformed_frames() const { return malformed_frames_; }

 private:
  void SendNews(steady_time now);
  void ReportEndedStarts(const crash_evidence& evidence) const;
  std::vector<std::string> Relays() const;

  fleet_host& fleet_;
  crash_attribution& attribution_;
  steady_time next_send_{};
  uint64_t malformed_frames_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_CRASH_EXCHANGE_H_
