#include "entry/domain_reachability.h"

#include <algorithm>

namespace shallotport {

namespace {

// A single endpoint that does not respond may itself be down.
constexpr size_t kMinSilentEndpoints = 2;
// Time between two probes of a domain; doubled with each probe that gets no
// response. After a partition heals, the domain is used again within the
// maximum.
constexpr std::chrono::milliseconds kInitialBackoff{300};
constexpr std::chrono::milliseconds kMaxBackoff{1'000};

}  // namespace

void domain_reachability::RecordConnectTimeout(steady_time now,
                                               const domain_id& domain,
                                               const endpoint_id& endpoint) {
  suspicion& suspected = suspicions_[domain];
  suspected.silent_endpoints.insert(endpoint);
  if (suspected.silent_endpoints.size() < kMinSilentEndpoints) {
    return;
  }
  const uint32_t doublings =
      std::min<uint32_t>(suspected.unanswered_probes++, 4);
  const duration backoff =
      std::min<duration>(kInitialBackoff * (1u << doublings), kMaxBackoff);
  suspected.backoff_until = std::max(suspected.backoff_until, now + backoff);
}

void domain_reachability::RecordResponse(const domain_id& domain) {
  suspicions_.erase(domain);
}

bool domain_reachability::IsInBackoff(steady_time now,
                                      const domain_id& domain) const {
  const auto found = suspicions_.find(domain);
  return found != suspicions_.end() && now < found->second.backoff_until;
}

void domain_reachability::RecordAttempt(steady_time now,
                                        const domain_id& domain) {
  const auto found = suspicions_.find(domain);
  const bool is_suspect =
      found != suspicions_.end() &&
      found->second.silent_endpoints.size() >= kMinSilentEndpoints;
  if (is_suspect) {
    found->second.backoff_until = now + kInitialBackoff;
  }
}

}  // namespace shallotport
