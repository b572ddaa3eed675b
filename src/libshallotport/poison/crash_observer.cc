#include "poison/crash_observer.h"

#include <utility>

namespace shallotport {

namespace {

// The connections of an endpoint that ends break within this time.
constexpr std::chrono::milliseconds kProbeValidity{300};
constexpr size_t kMaxRecords = 256;  // Of one endpoint, while it is probed.

uint32_t Milliseconds(duration period) {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(period).count());
}

}  // namespace

crash_observer::crash_observer(const clock_source& clock,
                               endpoint_connection_pool& pool,
                               crash_attribution& attribution)
    : clock_(clock), pool_(pool), attribution_(attribution) {}

crash_observer::~crash_observer() = default;

void crash_observer::OnWholeAnswer(const observed_attempt& attempt) {
  attribution_.RecordWholeAnswer(clock_.Now(), attempt.service, attempt.traits);
}

void crash_observer::OnSustainedOutput(const observed_attempt& attempt) {
  attribution_.RecordSustainedOutput(attempt.begun_at, attempt.traits);
}

void crash_observer::OnBroken(const observed_attempt& attempt) {
  const steady_time now = clock_.Now();
  attribution_.RecordBreak(now, attempt.service);
  RemoveOld(now);
  crash_record record;
  record.endpoint = StartKey(attempt.start);
  record.request = attempt.request;
  record.service = attempt.service;
  record.domain = attempt.domain;
  record.ran_ms = Milliseconds(now - attempt.begun_at);
  record.output_ms = Milliseconds(attempt.output);
  record.parts = attempt.traits.parts;
  record.digest = attempt.traits.digest;
  const auto [at, is_new] = pending_.try_emplace(attempt.start);
  pending_crash& pending = at->second;
  if (!is_new && !pending.is_probing &&
      pending.result == probe_result::kRefused) {
    RecordCrash(now, record);
    return;
  }
  if (pending.records.size() < kMaxRecords) {
    pending.records.push_back(std::move(record));
  }
  if (pending.is_probing) {
    return;
  }
  pending.is_probing = true;
  pending.probed_at = now;
  pool_.Probe(attempt.address,
              [this, start = attempt.start,
               alive = std::weak_ptr<bool>(is_alive_)](probe_result result) {
                if (!alive.expired()) {
                  OnProbed(start, result);
                }
              });
}

void crash_observer::OnProbed(const endpoint_start& start,
                              probe_result result) {
  const auto found = pending_.find(start);
  if (found == pending_.end()) {
    return;
  }
  pending_crash& pending = found->second;
  pending.is_probing = false;
  pending.result = result;
  const steady_time now = clock_.Now();
  const uint32_t age_ms = Milliseconds(now - pending.probed_at);
  std::vector<crash_record> records = std::exchange(pending.records, {});
  switch (result) {
    case probe_result::kAccepted:
      ++counters_.not_a_crash;
      return;
    case probe_result::kUnknown:
      ++counters_.unknown;
      return;
    case probe_result::kRefused:
      break;
  }
  ++counters_.crashes;
  if (on_ended) {
    on_ended(start);
  }
  for (crash_record& each : records) {
    each.age_ms = age_ms;
    RecordCrash(now, each);
  }
}

void crash_observer::RecordCrash(steady_time now, const crash_record& record) {
  attribution_.RecordCrash(now, record);
  if (on_crash) {
    on_crash(record);
  }
}

void crash_observer::RemoveOld(steady_time now) {
  std::erase_if(pending_, [now](const auto& each) {
    return !each.second.is_probing &&
           now >= each.second.probed_at + kProbeValidity;
  });
}

}  // namespace shallotport
