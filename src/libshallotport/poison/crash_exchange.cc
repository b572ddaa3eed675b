#include "poison/crash_exchange.h"

#include <algorithm>
#include <map>
#include <set>

namespace shallotport {

namespace {

// A crash breaks requests within milliseconds; they are sent together.
constexpr std::chrono::milliseconds kSendInterval{20};
// Job stores that an entry host sends its records to, of different failure
// domains where there are so many.
constexpr size_t kMaxRelays = 3;
constexpr auto kFrame = static_cast<uint8_t>(fleet_frame::kCrashEvidence);

}  // namespace

crash_exchange::crash_exchange(fleet_host& fleet,
                               crash_attribution& attribution)
    : fleet_(fleet), attribution_(attribution) {}

void crash_exchange::Tick(steady_time now) {
  for (const block_change& change : attribution_.Update(now)) {
    if (on_change) {
      on_change(change);
    }
  }
  if (now >= next_send_) {
    next_send_ = now + kSendInterval;
    SendNews(now);
  }
}

// News stay with an entry host while it has no link to a store.
void crash_exchange::SendNews(steady_time now) {
  if (!attribution_.HasNews()) {
    return;
  }
  if (fleet_.self().role == host_role::kStore) {
    const std::string encoded = EncodeEvidence(attribution_.TakeNews(now));
    for (const auto& link : fleet_.hub().accepted()) {
      if (!link->peer_name.empty()) {
        link->Send(kFrame, encoded);
      }
    }
    return;
  }
  const std::vector<std::string> relays = Relays();
  if (relays.empty()) {
    return;
  }
  const std::string encoded = EncodeEvidence(attribution_.TakeNews(now));
  for (const std::string& ip : relays) {
    fleet_.hub().Send(ip, kFrame, encoded);
  }
}

std::vector<std::string> crash_exchange::Relays() const {
  std::vector<std::string> relays;
  std::set<domain_id> domains;
  std::vector<std::string> others;
  for (const host_announcement& store : fleet_.LiveHosts(host_role::kStore)) {
    if (fleet_.hub().IsUp(store.host.text())) {
      const bool is_new_domain = domains.insert(store.domain).second;
      (is_new_domain ? relays : others).push_back(store.host.text());
    }
  }
  relays.insert(relays.end(), others.begin(), others.end());
  relays.resize(std::min(relays.size(), kMaxRelays));
  return relays;
}

bool crash_exchange::OnFrame(steady_time now,
                             const host_link& link,
                             uint8_t kind,
                             std::string_view payload) {
  if (kind != kFrame) {
    return false;
  }
  const auto evidence = DecodeEvidence(payload);
  if (IsOk(evidence)) {
    ReportEndedStarts(ValueOf(evidence));
    // All hosts dial the stores, and stores send on accepted links.
    attribution_.Merge(now, ValueOf(evidence),
                       link.is_dialed() ? crash_attribution::role::kRelay
                                        : crash_attribution::role::kObserver);
  } else {
    ++malformed_frames_;
  }
  return true;
}

void crash_exchange::ReportEndedStarts(const crash_evidence& evidence) const {
  if (!on_start_ended) {
    return;
  }
  struct ended_start {
    uint32_t age_ms = UINT32_MAX;
    bool has_broken = false;
  };
  std::map<uint64_t, ended_start> ended;
  for (const crash_record& each : evidence.crashes) {
    ended_start& start = ended[each.endpoint];
    start.age_ms = std::min(start.age_ms, each.age_ms);
    start.has_broken =
        start.has_broken || !each.parts.empty() || each.digest != 0;
  }
  for (const auto& [key, start] : ended) {
    const std::chrono::milliseconds age(start.age_ms);
    // If it had not ended, it has reported since.
    if (age < kStaleReportWindow) {
      on_start_ended(key, age, start.has_broken);
    }
  }
}

void crash_exchange::OnHostLinked(steady_time now, host_link& link) {
  const crash_evidence known = attribution_.Snapshot(now);
  if (!known.IsEmpty()) {
    link.Send(kFrame, EncodeEvidence(known));
  }
}

}  // namespace shallotport
