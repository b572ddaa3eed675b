#include "fleet/document_receipts.h"

#include <algorithm>

namespace shallotport {

namespace {

// A host that stays linked and lacks more versions than this counts as behind
// since the oldest one that is kept.
constexpr size_t kMaxPublications = 1'024;

}  // namespace

void document_receipts::Publish(steady_time now, uint64_t version) {
  if (!published_.empty() && version <= published_.back().version) {
    return;
  }
  published_.push_back({version, now});
  Forget();
}

void document_receipts::Record(const host_id& host, uint64_t version) {
  confirmed_[host] = version;
  Forget();
}

void document_receipts::Remove(const host_id& host) {
  confirmed_.erase(host);
  Forget();
}

bool document_receipts::IsConfirmed(uint64_t version) const {
  return std::all_of(
      confirmed_.begin(), confirmed_.end(),
      [version](const auto& each) { return each.second >= version; });
}

std::vector<host_id> document_receipts::BehindFor(steady_time now,
                                                  duration age) const {
  std::vector<host_id> behind;
  for (const auto& [host, version] : confirmed_) {
    if (version < newest() && Lag(now, version) >= age) {
      behind.push_back(host);
    }
  }
  return behind;
}

duration document_receipts::LongestBehind(steady_time now) const {
  duration longest{};
  for (const auto& [host, version] : confirmed_) {
    longest = std::max(longest, Lag(now, version));
  }
  return longest;
}

size_t document_receipts::BehindCount() const {
  return static_cast<size_t>(std::count_if(
      confirmed_.begin(), confirmed_.end(),
      [this](const auto& each) { return each.second < newest(); }));
}

duration document_receipts::Lag(steady_time now, uint64_t version) const {
  const auto lacking =
      std::upper_bound(published_.begin(), published_.end(), version,
                       [](uint64_t held, const publication& each) {
                         return held < each.version;
                       });
  return lacking == published_.end() ? duration{} : now - lacking->at;
}

void document_receipts::Forget() {
  uint64_t oldest = newest();
  for (const auto& [host, version] : confirmed_) {
    oldest = std::min(oldest, version);
  }
  while (published_.size() > kMaxPublications ||
         (published_.size() > 1 && published_.front().version <= oldest)) {
    published_.pop_front();
  }
}

}  // namespace shallotport
