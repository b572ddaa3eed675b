#ifndef SHALLOTPORT_JOBSTORE_ITEM_EXPIRY_H_
#define SHALLOTPORT_JOBSTORE_ITEM_EXPIRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

class job_table;
class route_table;
struct job_submission;
struct route;

// An item of a job, by its index in the submission.
using item_key = std::pair<job_id, uint32_t>;

enum class expiry_reason : uint8_t {
  kRetention,   // It has waited past its job's retention.
  kRouteEnded,  // The configuration does not have its route any more.
};

struct expired_item {
  item_key key;
  expiry_reason reason = expiry_reason::kRetention;

  bool operator==(const expired_item&) const = default;
};

// The route that an item is sent by: the one for its path or, if there is none,
// the one for its job. Null: neither.
const route* RouteOf(const route_table& routes,
                     const job_submission& submission,
                     uint32_t item_index);

// Decides which items of open jobs end as dead letters without another attempt.
// Owned by item_dispatcher of the leading host. Pure.
//
// That no route matches an item does not show that its route has ended: this
// host may be behind the one that accepted the job. The route has ended if the
// job was accepted under an earlier configuration than the one in force here,
// or if this host saw a route for it before. An operator may put a removed
// route back soon, so its items wait for a while.
class item_expiry {
 public:
  static constexpr std::chrono::milliseconds kRouteEndGrace{5'000};
  // Added to a job's retention, because clocks may jump.
  static constexpr wall_milliseconds kRetentionMarginMs = 15'000;

  // The items to end now, `max_items` at most. Items for which `is_busy` has an
  // attempt or a result under way are left out.
  std::vector<expired_item> Find(
      steady_time now,
      wall_milliseconds wall,
      const job_table& table,
      const route_table& routes,
      size_t max_items,
      const std::function<bool(const item_key& key)>& is_busy);

  // Forgets what was seen of routes.
  void Reset() { jobs_.clear(); }

 private:
  // What is known of the routes of an open job.
  struct job_routes {
    uint64_t checked_version = 0;  // Of the configuration.
    // The last version that had a route for all items.
    std::optional<uint64_t> matched_version;
    std::map<uint32_t, steady_time> unmatched;  // Items, and since when.
  };

  void UpdateRoutes(steady_time now,
                    const job_table& table,
                    const route_table& routes);

  std::map<job_id, job_routes> jobs_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ITEM_EXPIRY_H_
