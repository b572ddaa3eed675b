#ifndef SHALLOTPORT_CLAIMS_CLAIM_STATE_H_
#define SHALLOTPORT_CLAIMS_CLAIM_STATE_H_

#include <compare>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <unordered_set>
#include <vector>

#include "claims/claim_messages.h"
#include "claims/claim_table.h"
#include "claims/expired_keys.h"
#include "consensus/replicated_state.h"

namespace shallotport {

// Limits of a claim_state. They decide which commands are refused, so they must
// be equal on all members of the log.
struct claim_limits {
  size_t max_claims = 200'000;
  size_t max_keys = 2'000'000;  // Claims and expired keys together.
  uint64_t max_response_bytes = 64ULL << 20U;
  size_t max_released_attempts = 100'000;
  int64_t released_attempt_retention_ms = 10LL * 60 * 1000;
  int64_t expired_key_retention_ms = 7LL * 24 * 3600 * 1000;
  int64_t max_retention_ms = 7LL * 24 * 3600 * 1000;
};

// The claims slice of the replicated log: which attempt may send the call of an
// idempotency key, and the recorded responses for resends.
//
// A claim is open from its grant until it is finished or released. Its outcome
// becomes unknown when its holder is abandoned or its open timeout passes; the
// holder can still finish or release it then. A claim expires after its
// retention time; its key is refused for expired_key_retention_ms after that.
// When a limit is reached, new keys are refused and no entry is removed early.
// All times are the leader's wall clock, as recorded in the log.
class claim_state final : public replicated_state {
 public:
  explicit claim_state(claim_limits limits = {});

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  // Typed forms of Apply() and Query().
  claim_reply ApplyCommand(wall_milliseconds now, const claim_command& command);
  claim_reply Lookup(const claim_lookup& lookup) const;

  size_t claims() const { return table_.size(); }
  size_t open_claims() const { return open_claims_.size(); }
  size_t expired() const { return expired_keys_.size(); }

  void WriteState(nlohmann::json& out) const override;

 private:
  class writer;

  // An open claim, ordered by its holder.
  struct open_claim {
    host_id host;
    incarnation host_incarnation = 0;
    claim_key key;
    auto operator<=>(const open_claim&) const = default;
  };

  struct open_timeout {
    wall_milliseconds at = 0;
    claim_key key;
    auto operator<=>(const open_timeout&) const = default;
  };

  struct released_attempt {
    wall_milliseconds remove_at = 0;
    uint64_t hash = 0;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(remove_at, hash);
    }
  };

  // Claims by incarnations of a host below `lowest_accepted` are refused.
  struct host_incarnations {
    incarnation lowest_accepted = 0;
    wall_milliseconds remove_at = 0;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(lowest_accepted, remove_at);
    }
  };

  struct counters {
    uint64_t granted = 0;
    uint64_t answered = 0;
    uint64_t in_progress = 0;
    uint64_t unknown = 0;
    uint64_t differing = 0;
    uint64_t expired = 0;
    uint64_t refused_full = 0;
    uint64_t refused_stale = 0;
    uint64_t finished = 0;
    uint64_t released = 0;
    uint64_t became_unknown = 0;
    uint64_t resolved = 0;
    uint64_t bodies_dropped = 0;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(granted, answered, in_progress, unknown, differing, expired,
              refused_full, refused_stale, finished, released, became_unknown,
              resolved, bodies_dropped);
    }
  };

  struct stored_claim;
  struct stored_generation;
  struct stored_header;

  claim_reply Handle(wall_milliseconds now, const claim_begin& begin);
  claim_reply Handle(wall_milliseconds now, const claim_finish& finish);
  claim_reply Handle(wall_milliseconds now, const claim_release& release);
  claim_reply Handle(wall_milliseconds now, const claim_abandon& abandon);
  claim_reply Handle(wall_milliseconds now, const claim_resolve& resolve);

  claim_reply Grant(wall_milliseconds now, const claim_begin& begin);
  claim_reply Refuse(claim_result reason);
  bool HasCapacity() const;
  void Count(claim_result result);

  // Applies open timeouts and retention times up to `now`. Time never goes
  // back, even if a new leader's clock is behind.
  void AdvanceTime(wall_milliseconds now);
  void ExpireClaims(wall_milliseconds now);
  void ExpireClaim(wall_milliseconds now, const claim_key& key);
  void RemoveExpiredAttemptsAndHosts(wall_milliseconds now);
  void RecordRelease(wall_milliseconds now,
                     const claim_key& key,
                     const attempt_id& attempt);

  // Sets the open claims of the host's incarnations below `lowest_accepted` to
  // unknown.
  void AbandonIncarnationsBelow(wall_milliseconds now,
                                const host_id& host,
                                incarnation lowest_accepted);
  void SetOutcomeUnknown(const claim_key& key, const claim_entry& entry);
  void StoreResponse(const claim_key& key,
                     const claim_entry& entry,
                     claim_response response);
  void Erase(const claim_key& key, const claim_entry& entry);
  void IndexOpen(const claim_key& key, const claim_entry& entry);
  void UnindexOpen(const claim_key& key, const claim_entry& entry);
  void IndexExpiry(const claim_key& key, const claim_entry& entry);
  void UnindexExpiry(const claim_key& key, const claim_entry& entry);

  void Clear();
  void Restore(stored_header header);
  void Restore(const stored_claim& claim);

  claim_limits limits_;
  claim_table table_;
  expired_keys expired_keys_;
  std::set<open_claim> open_claims_;
  std::set<open_timeout> open_timeouts_;
  // Keys of all claims by the minute of leader time in which they expire.
  std::map<int64_t, std::vector<claim_key>> keys_by_expiry_minute_;
  std::deque<released_attempt> released_attempts_;
  std::unordered_set<uint64_t> released_attempt_hashes_;
  std::map<host_id, host_incarnations> hosts_;
  uint64_t stored_response_bytes_ = 0;
  wall_milliseconds now_ = 0;
  wall_milliseconds next_sweep_ = 0;
  counters counters_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CLAIMS_CLAIM_STATE_H_
