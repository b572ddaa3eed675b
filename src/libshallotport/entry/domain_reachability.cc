#include "entry/domain_reachability.h"

#include <algorithm>

namespace shallotport {

namespace {

// One silent endpoint may itself be down.
constexpr size_t kSilentEndpoints = 2;
// Between two tries; doubled with each that stays silent. A partition that
// heals is noticed within the longest.
constexpr std::chrono::milliseconds kFirstPause{300};
constexpr std::chrono::milliseconds kLongestPause{1'000};

}  // namespace

void domain_reachability::NoteSilence(steady_time now,
                                      const domain_id& domain,
                                      const endpoint_id& endpoint) {
  suspicion& suspected = suspicions_[domain];
  suspected.silent.insert(endpoint);
  if (suspected.silent.size() < kSilentEndpoints) {
    return;
  }
  const uint32_t doublings = std::min<uint32_t>(suspected.probes++, 4);
  const duration pause =
      std::min<duration>(kFirstPause * (1u << doublings), kLongestPause);
  suspected.avoid_until = std::max(suspected.avoid_until, now + pause);
}

void domain_reachability::NoteAnswer(const domain_id& domain) {
  suspicions_.erase(domain);
}

bool domain_reachability::IsAvoided(steady_time now,
                                    const domain_id& domain) const {
  const auto found = suspicions_.find(domain);
  return found != suspicions_.end() && now < found->second.avoid_until;
}

void domain_reachability::NoteTry(steady_time now, const domain_id& domain) {
  const auto found = suspicions_.find(domain);
  const bool is_suspect = found != suspicions_.end() &&
                          found->second.silent.size() >= kSilentEndpoints;
  if (is_suspect) {
    found->second.avoid_until = now + kFirstPause;
  }
}

}  // namespace shallotport
