#include "membership/membership_core.h"

#include <algorithm>
#include <bit>
#include <nlohmann/json.hpp>
#include <utility>

namespace shallotport {

using message_kind = membership_message_kind;

namespace {

constexpr uint32_t kLeaveNotices = 4;
constexpr duration kLeaveNoticePeriod{500'000};
// A timer that runs this many periods after the last one means that this
// process was stalled, not its peers.
constexpr int kStallPeriods = 2;

constexpr const char* kStateNames[] = {"alive", "suspect", "down", "left"};

}  // namespace

result<membership_core> membership_core::Create(membership_options options,
                                                steady_time now,
                                                uint64_t seed) {
  if (options.self.IsEmpty() || options.domain.IsEmpty() ||
      options.started == 0) {
    return MakeError(
        error_kind::kInvalidRequest,
        "membership needs a host, a domain and a nonzero incarnation");
  }
  if (options.direct_timeout * 2 >= options.period ||
      options.seeds.size() > options.max_hosts) {
    return MakeError(error_kind::kInvalidRequest,
                     "membership direct_timeout is not below half of the "
                     "period, or there are "
                     "more seeds than max_hosts");
  }
  return membership_core(std::move(options), now, seed);
}

membership_core::membership_core(membership_options options,
                                 steady_time now,
                                 uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      next_period_(now),
      next_rejoin_(now),
      next_leave_notice_(now),
      last_timer_(now) {
  self_ = {options_.self, options_.address, options_.started, 0,
           host_state::kAlive};
  for (const membership_seed& entry : options_.seeds) {
    if (entry.id == self_.id) {
      continue;
    }
    known_host host;
    host.record = {entry.id, entry.address, 0, 0, host_state::kDown};
    host.changed_at = now;
    host.is_seed = true;
    hosts_.emplace(entry.id, std::move(host));
  }
}

steady_time membership_core::next_timer() const {
  steady_time next = std::min(next_period_, next_rejoin_);
  if (probe_ && !probe_->is_acked && !probe_->is_indirect) {
    next = std::min(next, probe_->sent_at + options_.direct_timeout);
  }
  if (leave_notices_left_ > 0) {
    next = std::min(next, next_leave_notice_);
  }
  return next;
}

std::vector<membership_action> membership_core::OnTimer(steady_time now) {
  actions out;
  if (now - last_timer_ > kStallPeriods * options_.period) {
    ExcludeStall(now);
  }
  last_timer_ = now;
  if (leave_notices_left_ > 0 && now >= next_leave_notice_) {
    SendLeaveNotices(now, out);
  }
  if (probe_ && !probe_->is_acked && !probe_->is_indirect &&
      now >= probe_->sent_at + options_.direct_timeout) {
    SendIndirectProbes(now, out);
  }
  if (now >= next_period_) {
    BeginPeriod(now, out);
  }
  if (now >= next_rejoin_) {
    ProbeDownHost(now, out);
  }
  return out;
}

std::vector<membership_action> membership_core::OnMessage(
    steady_time now,
    const host_id& from,
    const membership_message& message) {
  actions out;
  if (message.domain != options_.domain || from == self_.id) {
    ++counters_.refused_messages;
    return out;
  }
  const uint32_t refutation = self_.refutation;
  for (const host_record& record : message.records) {
    Merge(now, record, out);
  }
  has_joined_ = true;
  if (self_.refutation != refutation && message.kind != message_kind::kPing) {
    membership_message notice;
    notice.kind = message_kind::kNotice;
    Send(from, std::move(notice), out);
  }
  switch (message.kind) {
    case message_kind::kPing:
      HandlePing(from, message, out);
      break;
    case message_kind::kPingRequest:
      HandlePingRequest(now, from, message, out);
      break;
    case message_kind::kAck:
      HandleAck(message, out);
      break;
    case message_kind::kNotice:
      break;
  }
  return out;
}

std::vector<membership_action> membership_core::BeginLeave(steady_time now) {
  actions out;
  if (self_.state == host_state::kLeft) {
    return out;
  }
  self_.state = host_state::kLeft;
  ++self_.refutation;
  leave_notices_left_ = kLeaveNotices;
  SendLeaveNotices(now, out);
  return out;
}

std::vector<host_id> membership_core::LiveHosts() const {
  return HostsInStates(host_state::kAlive, host_state::kSuspect);
}

std::optional<host_record> membership_core::Find(const host_id& id) const {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) {
    return std::nullopt;
  }
  return found->second.record;
}

void membership_core::BeginPeriod(steady_time now, actions& out) {
  EndProbe(now, out);
  ExpireSuspicions(now, out);
  RemoveExpiredHosts(now);
  next_period_ = now + options_.period;
  probe_.reset();
  if (self_.state == host_state::kLeft) {
    return;
  }
  const std::optional<host_id> target = NextProbeTarget();
  if (!target) {
    return;
  }
  probe_ = {*target, next_sequence_++, now};
  ++counters_.probes;
  membership_message ping;
  ping.kind = message_kind::kPing;
  ping.sequence = probe_->sequence;
  Send(*target, std::move(ping), out);
}

void membership_core::EndProbe(steady_time now, actions& out) {
  if (!probe_ || probe_->is_acked) {
    return;
  }
  const auto found = hosts_.find(probe_->target);
  if (found == hosts_.end() ||
      found->second.record.state != host_state::kAlive) {
    return;
  }
  ++counters_.suspicions;
  host_record suspect = found->second.record;
  suspect.state = host_state::kSuspect;
  SetRecord(now, found->second, suspect, out);
}

void membership_core::SendIndirectProbes(steady_time now, actions& out) {
  probe_->is_indirect = true;
  for (const host_id& proxy :
       PickLiveHosts(options_.indirect_probes, probe_->target)) {
    ++counters_.indirect_probes;
    membership_message request;
    request.kind = message_kind::kPingRequest;
    request.sequence = probe_->sequence;
    request.subject = probe_->target;
    Send(proxy, std::move(request), out);
  }
  std::erase_if(forwarded_, [this, now](const auto& entry) {
    return entry.second.sent_at + options_.period < now;
  });
}

void membership_core::ExpireSuspicions(steady_time now, actions& out) {
  for (auto& [id, host] : hosts_) {
    if (host.record.state == host_state::kSuspect &&
        now >= host.changed_at + options_.suspicion_time) {
      ++counters_.downs;
      host_record down = host.record;
      down.state = host_state::kDown;
      SetRecord(now, host, down, out);
    }
  }
}

void membership_core::ProbeDownHost(steady_time now, actions& out) {
  const bool is_alone = LiveHosts().empty();
  const duration period =
      is_alone ? options_.rejoin_period / 3 : options_.rejoin_period;
  next_rejoin_ = now + WithJitter(period);
  const std::vector<host_id> down =
      HostsInStates(host_state::kDown, host_state::kDown);
  if (down.empty() || self_.state == host_state::kLeft) {
    return;
  }
  membership_message ping;
  ping.kind = message_kind::kPing;
  ping.sequence = next_sequence_++;
  ping.requests_many_records = !has_joined_ || is_alone;
  Send(down[UniformBelow(random_, down.size())], std::move(ping), out);
}

void membership_core::RemoveExpiredHosts(steady_time now) {
  std::erase_if(hosts_, [this, now](const auto& entry) {
    const known_host& host = entry.second;
    return !host.is_seed && host.record.state >= host_state::kDown &&
           now >= host.changed_at + options_.removal_time;
  });
}

void membership_core::ExcludeStall(steady_time now) {
  ++counters_.stalls;
  const duration stalled = now - last_timer_;
  probe_.reset();
  for (auto& [id, host] : hosts_) {
    if (host.record.state == host_state::kSuspect) {
      host.changed_at += stalled;
    }
  }
}

void membership_core::SendLeaveNotices(steady_time now, actions& out) {
  --leave_notices_left_;
  next_leave_notice_ = now + kLeaveNoticePeriod;
  for (const host_id& to : LiveHosts()) {
    membership_message notice;
    notice.kind = message_kind::kNotice;
    Send(to, std::move(notice), out);
  }
}

std::optional<host_id> membership_core::NextProbeTarget() {
  while (true) {
    if (probe_order_.empty()) {
      probe_order_ = LiveHosts();
      if (probe_order_.empty()) {
        return std::nullopt;
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    host_id target = std::move(probe_order_.back());
    probe_order_.pop_back();
    const auto found = hosts_.find(target);
    if (found != hosts_.end() &&
        found->second.record.state <= host_state::kSuspect) {
      return target;
    }
  }
}

std::vector<host_id> membership_core::HostsInStates(host_state first,
                                                    host_state last) const {
  std::vector<host_id> ids;
  for (const auto& [id, host] : hosts_) {
    if (host.record.state >= first && host.record.state <= last) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<host_id> membership_core::PickLiveHosts(size_t count,
                                                    const host_id& except) {
  std::vector<host_id> live = LiveHosts();
  std::erase(live, except);
  std::shuffle(live.begin(), live.end(), random_);
  live.resize(std::min(live.size(), count));
  return live;
}

uint32_t membership_core::SendsPerRecord() const {
  return 3 * std::bit_width(hosts_.size() + 1);
}

duration membership_core::WithJitter(duration base) {
  const auto half = static_cast<uint64_t>(base.count() / 2);
  return base / 2 +
         duration(static_cast<int64_t>(UniformBelow(random_, 2 * half + 1)));
}

void membership_core::WriteState(nlohmann::json& out) const {
  out["self"] = {{"id", self_.id.text()},
                 {"incarnation", self_.started},
                 {"refutation", self_.refutation},
                 {"state", kStateNames[static_cast<size_t>(self_.state)]}};
  nlohmann::json& hosts = out["hosts"] = nlohmann::json::array();
  for (const auto& [id, host] : hosts_) {
    hosts.push_back(
        {{"id", id.text()},
         {"address", host.record.address},
         {"incarnation", host.record.started},
         {"refutation", host.record.refutation},
         {"state", kStateNames[static_cast<size_t>(host.record.state)]}});
  }
  out["counters"] = {{"live_hosts", LiveHosts().size()},
                     {"probes", counters_.probes},
                     {"indirect_probes", counters_.indirect_probes},
                     {"suspicions", counters_.suspicions},
                     {"refutations", counters_.refutations},
                     {"downs", counters_.downs},
                     {"stalls", counters_.stalls},
                     {"refused_messages", counters_.refused_messages},
                     {"id_conflicts", counters_.id_conflicts}};
}

}  // namespace shallotport
