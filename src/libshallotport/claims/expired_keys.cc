#include "claims/expired_keys.h"

#include <algorithm>

namespace shallotport {
namespace {

uint64_t HashOfKey(const claim_key& key) {
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
  open_.insert(HashOfKey(key));
}

bool expired_keys::Contains(const claim_key& key) const {
  const uint64_t hash = HashOfKey(key);
  if (open_.contains(hash)) {
    return true;
  }
  return std::any_of(closed_.begin(), closed_.end(), [&](const auto& closed) {
    return std::binary_search(closed.hashes->begin(), closed.hashes->end(),
                              hash);
  });
}

void expired_keys::Advance(wall_milliseconds now) {
  if (now - opened_at_ >= retention_ms_ / kGenerations) {
    if (!open_.empty()) {
      closed_.push_back({now, SortedVector(open_)});
      closed_size_ += open_.size();
      open_.clear();
    }
    opened_at_ = now;
  }
  while (!closed_.empty() && closed_.front().closed_at + retention_ms_ <= now) {
    closed_size_ -= closed_.front().hashes->size();
    closed_.pop_front();
  }
}

std::vector<expired_keys::generation> expired_keys::Generations() const {
  std::vector<generation> generations(closed_.begin(), closed_.end());
  generations.push_back({0, SortedVector(open_)});
  return generations;
}

void expired_keys::Restore(const std::vector<generation>& generations,
                           wall_milliseconds opened_at) {
  closed_.clear();
  open_.clear();
  closed_size_ = 0;
  opened_at_ = opened_at;
  if (generations.empty()) {
    return;
  }
  closed_.assign(generations.begin(), generations.end() - 1);
  for (const generation& closed : closed_) {
    closed_size_ += closed.hashes->size();
  }
  open_.insert(generations.back().hashes->begin(),
               generations.back().hashes->end());
}

}  // namespace shallotport
