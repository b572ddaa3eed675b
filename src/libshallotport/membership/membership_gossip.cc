// Handling of received probes and records, and the records that messages carry.

#include <utility>

#include "membership/membership_core.h"

namespace shallotport {

using message_kind = membership_message_kind;

namespace {

constexpr size_t kMaxForwardedProbes = 64;
constexpr size_t kRecordsForJoiningHost = 16;

host_event_kind EventKindOf(host_state state) {
  switch (state) {
    case host_state::kAlive:
      return host_event_kind::kUp;
    case host_state::kSuspect:
      return host_event_kind::kSuspect;
    case host_state::kDown:
      return host_event_kind::kDown;
    case host_state::kLeft:
      return host_event_kind::kLeft;
  }
  return host_event_kind::kDown;
}

}  // namespace

void membership_core::HandlePing(const host_id& from,
                                 const membership_message& message,
                                 actions& out) {
  membership_message ack;
  ack.kind = message_kind::kAck;
  ack.sequence = message.sequence;
  ack.subject = self_.id;
  if (message.requests_many_records) {
    AddRecords(from, options_.records_per_message, kRecordsForJoiningHost, ack);
  }
  Send(from, std::move(ack), out);
}

void membership_core::HandlePingRequest(steady_time now,
                                        const host_id& from,
                                        const membership_message& message,
                                        actions& out) {
  if (!hosts_.contains(message.subject) ||
      forwarded_.size() >= kMaxForwardedProbes) {
    return;
  }
  const uint64_t sequence = next_sequence_++;
  forwarded_[sequence] = {from, message.sequence, now};
  membership_message ping;
  ping.kind = message_kind::kPing;
  ping.sequence = sequence;
  Send(message.subject, std::move(ping), out);
}

void membership_core::HandleAck(const membership_message& message,
                                actions& out) {
  if (probe_ && probe_->sequence == message.sequence &&
      probe_->target == message.subject) {
    probe_->is_acked = true;
    return;
  }
  const auto forwarded = forwarded_.find(message.sequence);
  if (forwarded == forwarded_.end()) {
    return;
  }
  membership_message ack;
  ack.kind = message_kind::kAck;
  ack.sequence = forwarded->second.requester_sequence;
  ack.subject = message.subject;
  const host_id requester = forwarded->second.requester;
  forwarded_.erase(forwarded);
  Send(requester, std::move(ack), out);
}

void membership_core::Merge(steady_time now,
                            const host_record& record,
                            actions& out) {
  if (record.id == self_.id) {
    MergeSelf(record);
    return;
  }
  const auto found = hosts_.find(record.id);
  if (found != hosts_.end()) {
    if (record.Supersedes(found->second.record)) {
      MergeNewer(now, found->second, record, out);
    }
    return;
  }
  const bool is_down = record.state == host_state::kDown;
  if (is_down || record.started == 0 || hosts_.size() >= options_.max_hosts) {
    return;
  }
  known_host& added = hosts_[record.id];
  added.record.id = record.id;
  SetRecord(now, added, record, out);
}

// A host that another host reports as down only becomes suspect here, so that a
// host on this side of a healed partition has the time to refute it.
void membership_core::MergeNewer(steady_time now,
                                 known_host& host,
                                 host_record record,
                                 actions& out) {
  const bool is_newly_reported_down = record.state == host_state::kDown &&
                                      host.record.state <= host_state::kSuspect;
  if (is_newly_reported_down) {
    record.state = host_state::kSuspect;
    if (!record.Supersedes(host.record)) {
      return;
    }
  }
  SetRecord(now, host, record, out);
}

void membership_core::MergeSelf(const host_record& record) {
  if (record.started > self_.started) {
    ++counters_.id_conflicts;
    return;
  }
  const bool is_suspected = record.started == self_.started &&
                            record.state != host_state::kAlive &&
                            record.refutation >= self_.refutation;
  if (is_suspected && self_.state == host_state::kAlive) {
    ++counters_.refutations;
    self_.refutation = record.refutation + 1;
  }
}

void membership_core::SetRecord(steady_time now,
                                known_host& host,
                                const host_record& record,
                                actions& out) {
  const host_record previous = std::exchange(host.record, record);
  host.changed_at = now;
  host.sends_left = SendsPerRecord();
  const bool is_restart = previous.started != record.started;
  if (is_restart || previous.state != record.state) {
    out.emplace_back(host_event{EventKindOf(record.state), record});
  }
}

void membership_core::Send(const host_id& to,
                           membership_message message,
                           actions& out) {
  const auto found = hosts_.find(to);
  if (found == hosts_.end()) {
    return;
  }
  message.domain = options_.domain;
  if (message.records.empty()) {
    AddRecords(to, options_.records_per_message, 1, message);
  }
  out.emplace_back(
      send_membership{to, found->second.record.address, std::move(message)});
}

// Adds the own record, the receiver's record if it is not alive (so that the
// receiver can refute it), recent changes, and up to `rotation_count` further
// records in rotation, which replace records that got lost.
void membership_core::AddRecords(const host_id& to,
                                 size_t limit,
                                 size_t rotation_count,
                                 membership_message& message) {
  message.records.push_back(self_);
  const auto receiver = hosts_.find(to);
  if (receiver != hosts_.end() &&
      receiver->second.record.state != host_state::kAlive &&
      receiver->second.record.started != 0) {
    message.records.push_back(receiver->second.record);
  }
  for (auto& [id, host] : hosts_) {
    if (message.records.size() >= limit) {
      break;
    }
    if (host.sends_left > 0 && id != to) {
      --host.sends_left;
      message.records.push_back(host.record);
    }
  }
  for (size_t i = 0; i < rotation_count && i < hosts_.size(); ++i) {
    auto next = hosts_.upper_bound(rotation_);
    if (next == hosts_.end()) {
      next = hosts_.begin();
    }
    rotation_ = next->first;
    if (next->second.record.started != 0 && next->first != to) {
      message.records.push_back(next->second.record);
    }
  }
}

}  // namespace shallotport
