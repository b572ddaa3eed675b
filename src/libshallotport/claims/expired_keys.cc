#include "claims/expired_keys.h"

#include <algorithm>

namespace shallotport {
namespace {

uint64_t KeyHash(const claim_key& key) {
  return key.low;
}

std::shared_ptr<const std::vector<uint64_t>> SortedVector(
    const std::set<uint64_t>& hashes) {
  return std::make_shared<const std::vector<uint64_t>>(hashes.begin(),
                                                       hashes.end());
}

}  // namespace

void expired_keys::Add(const claim_key& key, wall_milliseconds now) {
  Advance(now);
  open_hashes_.insert(KeyHash(key));
}

bool expired_keys::Contains(const claim_key& key) const {
  const uint64_t hash = KeyHash(key);
  if (open_hashes_.contains(hash)) {
    return true;
  }
  return std::any_of(closed_generations_.begin(), closed_generations_.end(),
                     [&](const auto& closed) {
                       return std::binary_search(closed.hashes->begin(),
                                                 closed.hashes->end(), hash);
                     });
}

void expired_keys::Advance(wall_milliseconds now) {
  if (now - opened_at_ >= retention_ms_ / kGenerationCount) {
    if (!open_hashes_.empty()) {
      closed_generations_.push_back({now, SortedVector(open_hashes_)});
      closed_key_count_ += open_hashes_.size();
      open_hashes_.clear();
    }
    opened_at_ = now;
  }
  while (!closed_generations_.empty() &&
         closed_generations_.front().closed_at + retention_ms_ <= now) {
    closed_key_count_ -= closed_generations_.front().hashes->size();
    closed_generations_.pop_front();
  }
}

std::vector<expired_keys::generation> expired_keys::Generations() const {
  std::vector<generation> generations(closed_generations_.begin(),
                                      closed_generations_.end());
  generations.push_back({0, SortedVector(open_hashes_)});
  return generations;
}

void expired_keys::Restore(const std::vector<generation>& generations,
                           wall_milliseconds opened_at) {
  closed_generations_.clear();
  open_hashes_.clear();
  closed_key_count_ = 0;
  opened_at_ = opened_at;
  if (generations.empty()) {
    return;
  }
  closed_generations_.assign(generations.begin(), generations.end() - 1);
  for (const generation& closed : closed_generations_) {
    closed_key_count_ += closed.hashes->size();
  }
  open_hashes_.insert(generations.back().hashes->begin(),
                      generations.back().hashes->end());
}

}  // namespace shallotport
