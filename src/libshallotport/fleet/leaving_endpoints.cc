#include "fleet/leaving_endpoints.h"

namespace shallotport {

namespace {

// Several times the endpoints of the largest fleet. Ids are rarely used again.
constexpr size_t kMaxEntries = 4'096;
// Load reports are sent several times a second; a lost link comes back within
// this time, or its host learns of it from the endpoint.
constexpr std::chrono::milliseconds kTellTime{3'000};
// Of a load report; more endpoints than this rarely leave at the same time.
constexpr size_t kMaxRecent = 64;

}  // namespace

bool leaving_endpoints::Add(steady_time now,
                            const endpoint_start& start,
                            origin from) {
  if (IsLeaving(start.endpoint, start.start_time_ms)) {
    return false;
  }
  starts_[start.endpoint] = start.start_time_ms;
  entries_.push_back({start, now, from});
  if (entries_.size() > kMaxEntries) {
    RemoveOldest();
  }
  return true;
}

void leaving_endpoints::RemoveOldest() {
  const endpoint_start& oldest = entries_.front().start;
  const auto found = starts_.find(oldest.endpoint);
  if (found != starts_.end() && found->second == oldest.start_time_ms) {
    starts_.erase(found);
  }
  entries_.pop_front();
}

bool leaving_endpoints::IsLeaving(const endpoint_id& endpoint,
                                  uint64_t start_time_ms) const {
  const auto found = starts_.find(endpoint);
  return found != starts_.end() && start_time_ms <= found->second;
}

std::vector<endpoint_start> leaving_endpoints::Recent(steady_time now) const {
  return RecentOf(now, false);
}

std::vector<endpoint_start> leaving_endpoints::OwnRecent(
    steady_time now) const {
  return RecentOf(now, true);
}

std::vector<endpoint_start> leaving_endpoints::RecentOf(
    steady_time now,
    bool is_own_only) const {
  std::vector<endpoint_start> recent;
  for (auto at = entries_.rbegin(); at != entries_.rend(); ++at) {
    if (now > at->added_at + kTellTime || recent.size() >= kMaxRecent) {
      break;
    }
    if (!is_own_only || at->from == origin::kOwnResponse) {
      recent.push_back(at->start);
    }
  }
  return recent;
}

}  // namespace shallotport
