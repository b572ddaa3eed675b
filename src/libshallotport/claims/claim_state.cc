#include "claims/claim_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "base/digest.h"

namespace shallotport {
namespace {

constexpr int64_t kMinuteMs = 60'000;
constexpr int64_t kHostRetentionMs = 24LL * 3600 * 1000;

int64_t ExpiryMinute(wall_milliseconds expires_at) {
  return (expires_at + kMinuteMs - 1) / kMinuteMs;
}

uint64_t HashOfAttempt(const attempt_id& attempt) {
  return HashOf(attempt.text());
}

uint64_t HashOfRelease(const claim_key& key, const attempt_id& attempt) {
  return HashOf(attempt.text(), key.low);
}

// The reply about a claim to any attempt but its holder.
claim_reply DescribeClaim(const claim_entry& entry,
                          const claim_digest& request) {
  claim_reply reply;
  if (entry.request != request) {
    reply.result = claim_result::kRequestDiffers;
    return reply;
  }
  if (entry.phase == claim_phase::kSettled) {
    reply.result = claim_result::kResponseRecorded;
    reply.response = *entry.response;
    return reply;
  }
  reply.result = entry.phase == claim_phase::kOpen
                     ? claim_result::kInProgress
                     : claim_result::kOutcomeUnknown;
  reply.holder = entry.holder->host;
  reply.endpoint = entry.holder->endpoint;
  return reply;
}

claim_reply ReplyOf(claim_result result) {
  claim_reply reply;
  reply.result = result;
  return reply;
}

void DropBody(claim_response& response) {
  response.headers.clear();
  response.body.clear();
  response.is_body_dropped = true;
}

}  // namespace

claim_state::claim_state(claim_limits limits)
    : limits_(limits), expired_keys_(limits.expired_key_retention_ms) {}

std::string claim_state::Apply(const apply_context& context,
                               std::string_view command) {
  const auto decoded = Decode<claim_command>(command);
  if (!IsOk(decoded)) {
    return Encode(ReplyOf(claim_result::kMalformed));
  }
  return Encode(ApplyCommand(context.leader_time, ValueOf(decoded)));
}

claim_reply claim_state::ApplyCommand(wall_milliseconds now,
                                      const claim_command& command) {
  AdvanceTime(now);
  return std::visit([&](const auto& typed) { return Handle(now_, typed); },
                    command);
}

claim_reply claim_state::Handle(wall_milliseconds now,
                                const claim_begin& begin) {
  const auto known = hosts_.find(begin.host);
  if (known != hosts_.end() &&
      begin.host_incarnation > known->second.lowest_accepted) {
    AbandonIncarnationsBelow(now, begin.host, begin.host_incarnation);
  }
  if (const claim_entry* entry = table_.Find(begin.key)) {
    const bool is_same_attempt =
        entry->attempt_hash == HashOfAttempt(begin.attempt) &&
        entry->request == begin.request;
    if (is_same_attempt && entry->phase == claim_phase::kOpen) {
      return ReplyOf(claim_result::kGranted);
    }
    claim_reply reply = DescribeClaim(*entry, begin.request);
    Count(reply.result);
    return reply;
  }
  if (expired_keys_.Contains(begin.key)) {
    return Refuse(claim_result::kExpired);
  }
  if (released_attempt_hashes_.contains(
          HashOfRelease(begin.key, begin.attempt))) {
    return Refuse(claim_result::kAttemptReleased);
  }
  if (known != hosts_.end() &&
      begin.host_incarnation < known->second.lowest_accepted) {
    claim_reply reply = Refuse(claim_result::kStaleHost);
    reply.known_incarnation = known->second.lowest_accepted;
    return reply;
  }
  if (!HasCapacity()) {
    return Refuse(claim_result::kStorageFull);
  }
  return Grant(now, begin);
}

claim_reply claim_state::Grant(wall_milliseconds now,
                               const claim_begin& begin) {
  const int64_t open_timeout_ms =
      std::clamp<int64_t>(begin.open_timeout_ms, 1, limits_.max_retention_ms);
  const int64_t retention_ms = std::clamp<int64_t>(
      begin.retention_ms, open_timeout_ms, limits_.max_retention_ms);
  claim_entry entry;
  entry.request = begin.request;
  entry.attempt_hash = HashOfAttempt(begin.attempt);
  entry.expires_at = now + retention_ms;
  entry.holder = std::make_shared<const claim_holder_record>(
      claim_holder_record{begin.host, begin.host_incarnation, begin.endpoint,
                          now + open_timeout_ms});
  IndexOpen(begin.key, entry);
  IndexExpiry(begin.key, entry);
  table_.Put(begin.key, std::move(entry));
  host_incarnations& known = hosts_[begin.host];
  known.lowest_accepted =
      std::max(known.lowest_accepted, begin.host_incarnation);
  known.remove_at = now + kHostRetentionMs;
  Count(claim_result::kGranted);
  return ReplyOf(claim_result::kGranted);
}

bool claim_state::HasCapacity() const {
  const uint64_t reserved = (open_claims_.size() + 1) * kMaxResponseBytes;
  return table_.size() < limits_.max_claims &&
         table_.size() + expired_keys_.size() < limits_.max_keys &&
         released_attempts_.size() < limits_.max_released_attempts &&
         stored_response_bytes_ + reserved <= limits_.max_response_bytes;
}

claim_reply claim_state::Handle(wall_milliseconds, const claim_finish& finish) {
  const claim_entry* entry = table_.Find(finish.key);
  if (entry == nullptr ||
      entry->attempt_hash != HashOfAttempt(finish.attempt)) {
    return ReplyOf(claim_result::kNotHolder);
  }
  if (entry->phase != claim_phase::kSettled) {
    ++counters_.finished;
    StoreResponse(finish.key, *entry, finish.response);
  }
  return ReplyOf(claim_result::kApplied);
}

claim_reply claim_state::Handle(wall_milliseconds now,
                                const claim_release& release) {
  const claim_entry* entry = table_.Find(release.key);
  const bool is_holder =
      entry != nullptr && entry->attempt_hash == HashOfAttempt(release.attempt);
  if (is_holder && entry->phase == claim_phase::kSettled) {
    return ReplyOf(claim_result::kNotHolder);
  }
  if (is_holder) {
    Erase(release.key, *entry);
  }
  ++counters_.released;
  RecordRelease(now, release.key, release.attempt);
  return ReplyOf(claim_result::kApplied);
}

claim_reply claim_state::Handle(wall_milliseconds now,
                                const claim_abandon& abandon) {
  AbandonIncarnationsBelow(now, abandon.host, abandon.host_incarnation + 1);
  return ReplyOf(claim_result::kApplied);
}

claim_reply claim_state::Handle(wall_milliseconds,
                                const claim_resolve& resolve) {
  const claim_entry* entry = table_.Find(resolve.key);
  if (entry == nullptr) {
    return ReplyOf(claim_result::kNotHolder);
  }
  if (entry->phase == claim_phase::kOpen) {
    return DescribeClaim(*entry, entry->request);
  }
  if (entry->phase == claim_phase::kUnknown) {
    ++counters_.resolved;
    StoreResponse(resolve.key, *entry, resolve.response);
    entry = table_.Find(resolve.key);
  }
  return DescribeClaim(*entry, entry->request);
}

claim_reply claim_state::Lookup(const claim_lookup& lookup) const {
  if (const claim_entry* entry = table_.Find(lookup.key)) {
    return DescribeClaim(*entry, lookup.request);
  }
  return ReplyOf(expired_keys_.Contains(lookup.key) ? claim_result::kExpired
                                                    : claim_result::kUnclaimed);
}

std::string claim_state::Query(std::string_view query) const {
  const auto decoded = Decode<claim_lookup>(query);
  if (!IsOk(decoded)) {
    return Encode(ReplyOf(claim_result::kMalformed));
  }
  return Encode(Lookup(ValueOf(decoded)));
}

void claim_state::AdvanceTime(wall_milliseconds now) {
  now_ = std::max(now_, now);
  while (!open_timeouts_.empty() && open_timeouts_.begin()->at <= now_) {
    const claim_key key = open_timeouts_.begin()->key;
    SetOutcomeUnknown(key, *table_.Find(key));
  }
  ExpireClaims(now_);
  expired_keys_.Advance(now_);
  RemoveExpiredAttemptsAndHosts(now_);
}

void claim_state::ExpireClaims(wall_milliseconds now) {
  while (!keys_by_expiry_minute_.empty() &&
         keys_by_expiry_minute_.begin()->first * kMinuteMs <= now) {
    const auto due =
        keys_by_expiry_minute_.extract(keys_by_expiry_minute_.begin());
    for (const claim_key& key : due.mapped()) {
      ExpireClaim(now, key);
    }
  }
}

void claim_state::ExpireClaim(wall_milliseconds now, const claim_key& key) {
  const claim_entry* entry = table_.Find(key);
  if (entry->phase == claim_phase::kOpen) {
    UnindexOpen(key, *entry);
  }
  if (entry->response) {
    stored_response_bytes_ -= SizeOf(*entry->response);
  }
  table_.Erase(key);
  expired_keys_.Add(key, now);
}

void claim_state::RemoveExpiredAttemptsAndHosts(wall_milliseconds now) {
  while (!released_attempts_.empty() &&
         released_attempts_.front().remove_at <= now) {
    released_attempt_hashes_.erase(released_attempts_.front().hash);
    released_attempts_.pop_front();
  }
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kMinuteMs;
  std::erase_if(hosts_,
                [&](const auto& host) { return host.second.remove_at <= now; });
}

void claim_state::RecordRelease(wall_milliseconds now,
                                const claim_key& key,
                                const attempt_id& attempt) {
  const uint64_t hash = HashOfRelease(key, attempt);
  if (released_attempt_hashes_.insert(hash).second) {
    released_attempts_.push_back(
        {now + limits_.released_attempt_retention_ms, hash});
  }
}

void claim_state::AbandonIncarnationsBelow(wall_milliseconds now,
                                           const host_id& host,
                                           incarnation lowest_accepted) {
  host_incarnations& known = hosts_[host];
  known.lowest_accepted = std::max(known.lowest_accepted, lowest_accepted);
  known.remove_at = now + kHostRetentionMs;
  auto claim = open_claims_.lower_bound({host, 0, {}});
  while (claim != open_claims_.end() && claim->host == host &&
         claim->host_incarnation < lowest_accepted) {
    const claim_key key = claim->key;
    ++claim;
    SetOutcomeUnknown(key, *table_.Find(key));
  }
}

void claim_state::SetOutcomeUnknown(const claim_key& key,
                                    const claim_entry& entry) {
  ++counters_.became_unknown;
  UnindexOpen(key, entry);
  claim_entry changed = entry;
  changed.phase = claim_phase::kUnknown;
  table_.Put(key, std::move(changed));
}

void claim_state::StoreResponse(const claim_key& key,
                                const claim_entry& entry,
                                claim_response response) {
  if (entry.phase == claim_phase::kOpen) {
    UnindexOpen(key, entry);
  }
  const uint64_t size = SizeOf(response);
  const uint64_t reserved = open_claims_.size() * kMaxResponseBytes;
  if (size > kMaxResponseBytes ||
      stored_response_bytes_ + reserved + size > limits_.max_response_bytes) {
    ++counters_.bodies_dropped;
    DropBody(response);
  }
  stored_response_bytes_ += SizeOf(response);
  claim_entry changed = entry;
  changed.phase = claim_phase::kSettled;
  changed.holder.reset();
  changed.response =
      std::make_shared<const claim_response>(std::move(response));
  table_.Put(key, std::move(changed));
}

void claim_state::Erase(const claim_key& key, const claim_entry& entry) {
  if (entry.phase == claim_phase::kOpen) {
    UnindexOpen(key, entry);
  }
  UnindexExpiry(key, entry);
  table_.Erase(key);
}

void claim_state::IndexOpen(const claim_key& key, const claim_entry& entry) {
  open_claims_.insert(
      {entry.holder->host, entry.holder->host_incarnation, key});
  open_timeouts_.insert({entry.holder->open_until, key});
}

void claim_state::UnindexOpen(const claim_key& key, const claim_entry& entry) {
  open_claims_.erase({entry.holder->host, entry.holder->host_incarnation, key});
  open_timeouts_.erase({entry.holder->open_until, key});
}

void claim_state::IndexExpiry(const claim_key& key, const claim_entry& entry) {
  keys_by_expiry_minute_[ExpiryMinute(entry.expires_at)].push_back(key);
}

void claim_state::UnindexExpiry(const claim_key& key,
                                const claim_entry& entry) {
  const auto minute =
      keys_by_expiry_minute_.find(ExpiryMinute(entry.expires_at));
  std::vector<claim_key>& keys = minute->second;
  // Most claims are released soon after their grant, so the key is near the
  // end.
  const auto found = std::find(keys.rbegin(), keys.rend(), key);
  *found = keys.back();
  keys.pop_back();
  if (keys.empty()) {
    keys_by_expiry_minute_.erase(minute);
  }
}

claim_reply claim_state::Refuse(claim_result reason) {
  Count(reason);
  return ReplyOf(reason);
}

void claim_state::Count(claim_result result) {
  switch (result) {
    case claim_result::kGranted:
      ++counters_.granted;
      return;
    case claim_result::kResponseRecorded:
      ++counters_.answered;
      return;
    case claim_result::kInProgress:
      ++counters_.in_progress;
      return;
    case claim_result::kOutcomeUnknown:
      ++counters_.unknown;
      return;
    case claim_result::kRequestDiffers:
      ++counters_.differing;
      return;
    case claim_result::kExpired:
      ++counters_.expired;
      return;
    case claim_result::kStorageFull:
      ++counters_.refused_full;
      return;
    default:
      ++counters_.refused_stale;
      return;
  }
}

void claim_state::WriteState(nlohmann::json& out) const {
  out["leader_time"] = now_;
  out["hosts"] = hosts_.size();
  nlohmann::json& values = out["counters"];
  values["claims_held"] = table_.size();
  values["claims_open"] = open_claims_.size();
  values["claims_answer_bytes"] = stored_response_bytes_;
  values["claims_expired_keys"] = expired_keys_.size();
  values["claims_released_attempts_kept"] = released_attempts_.size();
  values["claims_granted"] = counters_.granted;
  values["claims_answered_again"] = counters_.answered;
  values["claims_found_in_progress"] = counters_.in_progress;
  values["claims_found_unknown"] = counters_.unknown;
  values["claims_request_differs"] = counters_.differing;
  values["claims_refused_expired"] = counters_.expired;
  values["claims_refused_full"] = counters_.refused_full;
  values["claims_refused_stale"] = counters_.refused_stale;
  values["claims_finished"] = counters_.finished;
  values["claims_released"] = counters_.released;
  values["claims_became_unknown"] = counters_.became_unknown;
  values["claims_resolved"] = counters_.resolved;
  values["claims_bodies_dropped"] = counters_.bodies_dropped;
}

}  // namespace shallotport
