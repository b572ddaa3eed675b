#ifndef SHALLOTPORT_SHALLOTPORTD_CONTROL_MEMBER_H_
#define SHALLOTPORT_SHALLOTPORTD_CONTROL_MEMBER_H_

#include <memory>

#include "base/clock.h"
#include "base/result.h"
#include "consensus/replica.h"
#include "settings/host_settings.h"

namespace shallotport {

class peer_network;

// This host's member of the replicated log with the states that it holds:
// configuration, claims and jobs.
class control_member {
 public:
  // Recovers the member from `settings.data_folder`. kCorrupt when its files
  // are damaged.
  static result<std::unique_ptr<control_member>> Create(
      const host_settings& settings,
      const clock_source& clock,
      peer_network& network);
  ~control_member();

  status Start();
  void Stop();

  replica& log_member();

 private:
  struct parts;
  explicit control_member(std::unique_ptr<parts> made);

  std::unique_ptr<parts> parts_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_CONTROL_MEMBER_H_
