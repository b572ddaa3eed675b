#ifndef SHALLOTPORT_CLAIMS_EXPIRED_KEYS_H_
#define SHALLOTPORT_CLAIMS_EXPIRED_KEYS_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <vector>

#include "base/clock.h"
#include "claims/claim_messages.h"

namespace shallotport {

// Hashes of keys whose claims have expired, so that these keys are refused
// instead of claimed again. They are kept in generations by time: a closed one
// is a sorted vector of 8 bytes per key and is removed as a whole once its
// youngest key is older than the retention time.
class expired_keys {
 public:
  static constexpr int64_t kGenerationCount = 8;

  explicit expired_keys(int64_t retention_ms) : retention_ms_(retention_ms) {}

  void Add(const claim_key& key, wall_milliseconds now);
  bool Contains(const claim_key& key) const;

  // Closes the open generation and removes expired ones; `now` never decreases.
  void Advance(wall_milliseconds now);

  size_t size() const { return closed_key_count_ + open_hashes_.size(); }

  // The hashes of closed generations are shared with copies of this object.
  struct generation {
    wall_milliseconds closed_at = 0;
    std::shared_ptr<const std::vector<uint64_t>> hashes;
  };
  // All generations, oldest first; the last one is open.
  std::vector<generation> Generations() const;
  void Restore(const std::vector<generation>& generations,
               wall_milliseconds opened_at);
  wall_milliseconds opened_at() const { return opened_at_; }

 private:
  int64_t retention_ms_;
  std::deque<generation> closed_generations_;  // Oldest first.
  size_t closed_key_count_ = 0;
  std::set<uint64_t> open_hashes_;
  wall_milliseconds opened_at_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CLAIMS_EXPIRED_KEYS_H_
