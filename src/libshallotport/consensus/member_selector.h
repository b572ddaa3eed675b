#ifndef SHALLOTPORT_CONSENSUS_MEMBER_SELECTOR_H_
#define SHALLOTPORT_CONSENSUS_MEMBER_SELECTOR_H_

#include <cstddef>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// Chooses the member of the replicated log that the next attempt of a call goes
// to. Knows the leader and the members by their replies, and which members did
// not reply. Pure and not thread-safe; forwarding_log owns one and holds its
// lock around it.
class member_selector {
 public:
  // `self` is this host; `members` are those to contact first.
  member_selector(host_id self, std::vector<host_id> members);

  // Prefers the known leader. Otherwise goes through the members round-robin
  // and skips those in backoff; if all are, takes the one whose backoff ends
  // first. `own_view` is the leader by the member on this host; empty if it
  // knows none or there is no such member. A member on this host that follows
  // another one is not chosen: it can only refuse.
  host_id Choose(steady_time now, const host_id& own_view);

  // An attempt at `member` got no reply in time; `now` is its end.
  void OnUnanswered(steady_time now, const host_id& member);

  // What a reply says of the leader (empty: unknown) and of the members (empty:
  // the sender has no member). Another member that follows the one on this host
  // ends the latter's backoff: it was late, and no other can serve the call.
  void OnReply(const host_id& leader, std::vector<host_id> members);

  bool IsInBackoff(steady_time now, const host_id& member) const;

  // The last known leader; empty if unknown.
  const host_id& leader() const { return leader_; }
  // The last known members.
  const std::vector<host_id>& members() const { return reported_members_; }

 private:
  void TakeOwnView(const host_id& own_view);

  const host_id self_;
  const std::vector<host_id> configured_members_;
  host_id leader_;
  host_id own_view_;  // The last one that was not empty.
  std::vector<host_id> reported_members_;
  // reported_members_ and the configured members.
  std::vector<host_id> contacts_;
  size_t next_contact_ = 0;
  std::map<host_id, steady_time> backoff_until_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_MEMBER_SELECTOR_H_
