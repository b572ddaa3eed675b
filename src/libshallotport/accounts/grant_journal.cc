#include "accounts/grant_journal.h"

#include <algorithm>
#include <set>

namespace shallotport {

namespace {

// Bounds the memory of a store to a few megabytes; more than all requests of a
// window with an account.
constexpr size_t kMaxGrants = 100'000;

uint32_t AgeMs(steady_time now, steady_time at) {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
  return static_cast<uint32_t>(std::max<int64_t>(age.count(), 0));
}

}  // namespace

void grant_journal::Expire(steady_time now) {
  std::erase_if(records_, [&](const auto& each) {
    const bool is_old = now - each.second.granted_at > window_;
    grant_count_ -= is_old ? each.second.grants.size() : 0;
    return is_old;
  });
}

bool grant_journal::Add(steady_time now, const grant_record& record) {
  Expire(now);
  const duration age = std::chrono::milliseconds(record.age_ms);
  if (age > window_ || grant_count_ + record.grants.size() > kMaxGrants) {
    return false;
  }
  const bool is_new = records_
                          .try_emplace({record.leader_start, record.number},
                                       kept_record{now - age, record.grants})
                          .second;
  grant_count_ += is_new ? record.grants.size() : 0;
  return is_new;
}

std::vector<grant_record> grant_journal::RecordsBeyond(
    steady_time now,
    const std::vector<grant_record>& known) {
  Expire(now);
  std::set<record_key> known_keys;
  for (const grant_record& each : known) {
    known_keys.emplace(each.leader_start, each.number);
  }
  std::vector<grant_record> records;
  for (const auto& [key, record] : records_) {
    if (!known_keys.contains(key)) {
      records.push_back({key.first, key.second, AgeMs(now, record.granted_at),
                         record.grants});
    }
  }
  return records;
}

std::vector<grant_record> grant_journal::Headers(steady_time now) {
  Expire(now);
  std::vector<grant_record> headers;
  headers.reserve(records_.size());
  for (const auto& [key, record] : records_) {
    headers.push_back(
        {key.first, key.second, AgeMs(now, record.granted_at), {}});
  }
  return headers;
}

}  // namespace shallotport
