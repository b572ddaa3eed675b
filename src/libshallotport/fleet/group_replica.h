#ifndef SHALLOTPORT_FLEET_GROUP_REPLICA_H_
#define SHALLOTPORT_FLEET_GROUP_REPLICA_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "consensus/consensus_core.h"
#include "consensus/replica.h"
#include "consensus/replicated_state.h"
#include "consensus/sync_totals.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

class replica_driver;

// Options that all consensus groups of the fleet share: the identity of this
// member, its folder, the timeouts and, on the first start of a founder, the
// first members. The caller sets the size limits.
replica_options MakeGroupOptions(uint32_t group,
                                 const host_announcement& self,
                                 std::string folder,
                                 const std::vector<host_id>& founders);

// One member of a consensus group, run on an event loop's thread. Events
// handled in one turn of the loop share a disk sync. Syncs block the loop: a
// host whose disk stalls loses leadership, as a stalled process does.
class group_replica {
 public:
  using reply_function = replica::reply_function;

  // Recovers the files into `state`.
  static result<std::unique_ptr<group_replica>> Open(
      boost::asio::io_context& loop,
      const clock_source& clock,
      replica_options options,
      replicated_slice slice,
      replicated_state& state,
      replica::send_function send);
  ~group_replica();

  // An exception within a step ends the process, which recovers from its files:
  // a member must not go on from half a step.
  void OnMessage(std::string bytes) noexcept;
  void Propose(std::string command, reply_function reply) noexcept;
  // Linearizable; kNotLeader on any other member than the leader.
  void Query(std::string query, reply_function reply) noexcept;
  void ChangeMembership(membership_step step,
                        const host_id& host,
                        reply_function reply) noexcept;
  // Transfers leadership; `done` is called when the transfer has ended.
  void Stop(std::function<void()> done);

  // True while this member leads and its lease is valid.
  bool IsLeading() const;
  // True while this member leads its term, even if its lease lapsed for a
  // moment.
  bool IsTermLeader() const;
  // Empty if unknown.
  host_id leader() const;
  uint64_t term() const;
  incarnation disk() const { return disk_; }
  bool IsFounded() const;
  std::vector<member_report> MemberReports() const;
  const group_membership& membership() const;
  bool IsMembershipCommitted() const;
  // True when this member stopped permanently; the process must restart.
  bool is_failed() const;
  sync_totals syncs() const;

 private:
  group_replica(boost::asio::io_context& loop,
                const clock_source& clock,
                replicated_slice slice);

  void ScheduleFlush();
  void Flush();

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const replicated_slice slice_;
  std::unique_ptr<replica_driver> driver_;
  incarnation disk_ = 0;
  boost::asio::steady_timer timer_;
  bool is_flush_scheduled_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  std::function<bool()> stop_check_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_GROUP_REPLICA_H_
