#include "control/configuration_spread.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "base/digest.h"

namespace shallotport {
namespace {

bool IsNewer(log_index revision, const configuration_replica& replica) {
  return revision > replica.revision();
}

}  // namespace

std::string EncodeSpread(const spread_message& message) {
  return Encode(message);
}

result<spread_message> DecodeSpread(std::string_view bytes) {
  return Decode<spread_message>(bytes);
}

configuration_spread::configuration_spread(spread_options options,
                                           spread_peer self,
                                           std::vector<spread_peer> peers,
                                           uint64_t seed)
    : options_(options), self_(std::move(self)), random_(seed) {
  for (spread_peer& peer : peers) {
    if (peer.host == self_.host) {
      continue;
    }
    domains_[peer.domain].push_back(peer.host);
    if (peer.domain == self_.domain) {
      domain_peers_.push_back(peer.host);
    }
    if (peer.is_control) {
      control_peers_.push_back(peer.host);
    }
    const host_id host = peer.host;
    peers_[host].peer = std::move(peer);
  }
}

spread_actions configuration_spread::OnCommitted(
    steady_time now,
    const configuration_delta& delta,
    bool is_leader) {
  spread_actions out;
  const bool has_begun_to_lead = is_leader && !is_leader_;
  const bool is_newer = IsNewer(delta.to, replica_);
  is_leader_ = is_leader;
  if (is_leader_) {
    leader_ = self_.host;
  } else {
    pushes_.clear();
  }
  const log_index before = replica_.revision();
  if (is_newer && IsOk(replica_.Apply(delta))) {
    out.has_new_revision = true;
    previous_revision_ = before;
  }
  if (is_leader_ && replica_.IsReady() &&
      (out.has_new_revision || has_begun_to_lead)) {
    for (const auto& [domain, hosts] : domains_) {
      pushes_[domain] = {};
      PushToDomain(now, domain, out);
    }
  }
  return out;
}

spread_actions configuration_spread::OnMessage(steady_time now,
                                               const host_id& from,
                                               const spread_message& message) {
  spread_actions out;
  std::visit([&](const auto& typed) { On(now, from, typed, out); }, message);
  return out;
}

void configuration_spread::On(steady_time now,
                              const host_id& from,
                              const spread_push& push,
                              spread_actions& out) {
  const bool is_newer = IsNewer(push.delta.to, replica_);
  const log_index before = replica_.revision();
  if (is_newer && !IsOk(replica_.Apply(push.delta))) {
    ++missed_deltas_;
    out.sends.push_back({from, spread_digest{replica_.revision()}});
    return;
  }
  if (is_newer) {
    previous_revision_ = before;
  }
  out.has_new_revision = is_newer;
  Hear(now, from, push.delta.to);
  const bool is_leader_new = !push.leader.IsEmpty() && push.leader != leader_;
  if (is_leader_new) {
    leader_ = push.leader;
  }
  if (push.is_relay) {
    summary_until_ = now + options_.summary_duration;
    push_ons_left_ = options_.push_on_repeats;
    push_on_at_ = now + options_.push_on_interval;
    PushOn(is_leader_new, out);
    SendSummary(now, out);
    return;
  }
  // Acknowledges to the sender; what came from outside goes to the domain.
  out.sends.push_back({from, spread_digest{replica_.revision()}});
  const auto sender = peers_.find(from);
  const bool is_from_outside =
      sender != peers_.end() && sender->second.peer.domain != self_.domain;
  if (is_newer && is_from_outside) {
    SendDigestToDomain(out);
  }
}

void configuration_spread::On(steady_time now,
                              const host_id& from,
                              const spread_digest& digest,
                              spread_actions& out) {
  Hear(now, from, digest.revision);
  if (digest.revision < replica_.revision()) {
    out.sends.push_back({from, PushSince(digest.revision, false)});
  } else if (IsNewer(digest.revision, replica_)) {
    out.sends.push_back({from, spread_digest{replica_.revision()}});
  }
}

void configuration_spread::On(steady_time now,
                              const host_id& from,
                              const spread_summary& summary,
                              spread_actions&) {
  Hear(now, from, 0);
  for (const host_revision& host : summary.hosts) {
    Hear(now, host.host, host.revision);
  }
}

void configuration_spread::On(steady_time now,
                              const host_id& from,
                              const spread_progress_query& query,
                              spread_actions& out) {
  if (!is_leader_) {
    return;
  }
  spread_progress progress = Progress(now, query.revision);
  progress.number = query.number;
  out.sends.push_back({from, std::move(progress)});
}

void configuration_spread::On(steady_time,
                              const host_id&,
                              const spread_progress& progress,
                              spread_actions& out) {
  out.progress = progress;
}

spread_actions configuration_spread::AskProgress(
    steady_time now,
    const spread_progress_query& query) {
  spread_actions out;
  if (is_leader_) {
    out.progress = Progress(now, query.revision);
    out.progress->number = query.number;
  } else if (!leader_.IsEmpty()) {
    out.sends.push_back({leader_, query});
  }
  return out;
}

void configuration_spread::Hear(steady_time now,
                                const host_id& host,
                                log_index revision) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) {
    return;
  }
  found->second.revision = std::max(found->second.revision, revision);
  found->second.is_heard = true;
  found->second.heard_at = now;
}

spread_actions configuration_spread::OnTimer(steady_time now) {
  spread_actions out;
  if (digest_at_ <= now) {
    SendDigests(now, out);
  }
  if (summary_at_ <= now && now < summary_until_) {
    SendSummary(now, out);
  }
  if (push_ons_left_ > 0 && push_on_at_ <= now) {
    --push_ons_left_;
    push_on_at_ = now + options_.push_on_interval;
    PushOn(false, out);
  }
  if (is_leader_) {
    RetryDomains(now, out);
  }
  return out;
}

steady_time configuration_spread::next_timer() const {
  steady_time next = digest_at_;
  if (summary_at_ < summary_until_) {
    next = std::min(next, summary_at_);
  }
  if (push_ons_left_ > 0) {
    next = std::min(next, push_on_at_);
  }
  for (const auto& [domain, push] : pushes_) {
    next = std::min(next, push.retry_at);
  }
  return next;
}

void configuration_spread::PushToDomain(steady_time now,
                                        const domain_id& domain,
                                        spread_actions& out) {
  domain_push& push = pushes_[domain];
  for (const peer_state* relay : Relays(domain, push.attempt)) {
    // A relay that is known to be older gets all that it lacks.
    const log_index from = std::max<log_index>(
        1, relay->is_heard ? std::min(relay->revision, previous_revision_)
                           : previous_revision_);
    out.sends.push_back({relay->peer.host, PushSince(from, true)});
  }
  const auto backoff =
      options_.relay_timeout * (1U << std::min(push.attempt, 4U));
  push.retry_at = now + backoff;
  ++push.attempt;
}

spread_push configuration_spread::PushSince(log_index revision, bool is_relay) {
  spread_push push{replica_.Since(revision), is_relay, leader_};
  ++sent_pushes_;
  sent_whole_ += push.delta.is_whole ? 1 : 0;
  return push;
}

void configuration_spread::PushOn(bool is_leader_new, spread_actions& out) {
  for (const host_id& host : domain_peers_) {
    const log_index revision = peers_[host].revision;
    if (revision < replica_.revision() || is_leader_new) {
      // A host that was never heard of says itself what it lacks.
      const log_index from = revision == 0 ? previous_revision_ : revision;
      out.sends.push_back(
          {host, PushSince(std::max<log_index>(1, from), false)});
    }
  }
}

void configuration_spread::RetryDomains(steady_time now, spread_actions& out) {
  std::erase_if(pushes_,
                [&](const auto& push) { return IsDomainDone(push.first); });
  for (auto& [domain, push] : pushes_) {
    if (push.retry_at <= now) {
      PushToDomain(now, domain, out);
    }
  }
}

bool configuration_spread::IsDomainDone(const domain_id& domain) const {
  const auto& hosts = domains_.at(domain);
  return std::any_of(hosts.begin(), hosts.end(), [&](const host_id& host) {
    return peers_.at(host).revision >= replica_.revision();
  });
}

void configuration_spread::SendDigests(steady_time now, spread_actions& out) {
  const bool is_first = digest_at_ == steady_time{};
  const auto interval =
      static_cast<uint64_t>(duration(options_.digest_interval).count());
  // Spread over half to one and a half intervals.
  digest_at_ = now + duration(interval / 2 + UniformBelow(random_, interval));
  ++digests_;
  const bool to_control =
      is_first || digests_ % options_.digests_per_control_digest == 0;
  if (const host_id* peer = RandomPeer(domain_peers_)) {
    out.sends.push_back({*peer, spread_digest{replica_.revision()}});
  }
  if (const host_id* peer = to_control ? ControlPeer() : nullptr) {
    out.sends.push_back({*peer, spread_digest{replica_.revision()}});
  }
}

void configuration_spread::SendDigestToDomain(spread_actions& out) {
  for (const host_id& host : domain_peers_) {
    out.sends.push_back({host, spread_digest{replica_.revision()}});
  }
}

void configuration_spread::SendSummary(steady_time now, spread_actions& out) {
  summary_at_ = now + options_.summary_interval;
  if (leader_.IsEmpty() || now >= summary_until_) {
    return;
  }
  spread_summary summary;
  summary.hosts.push_back({self_.host, replica_.revision()});
  for (const host_id& host : domain_peers_) {
    peer_state& peer = peers_[host];
    if (peer.revision > peer.reported) {
      peer.reported = peer.revision;
      summary.hosts.push_back({host, peer.revision});
    }
  }
  const bool is_first = summary_until_ == now + options_.summary_duration;
  if (is_first || summary.hosts.size() > 1) {
    out.sends.push_back({leader_, std::move(summary)});
  }
}

std::vector<const configuration_spread::peer_state*>
configuration_spread::Relays(const domain_id& domain, uint32_t attempt) const {
  std::vector<const peer_state*> hosts;
  for (const host_id& host : domains_.at(domain)) {
    hosts.push_back(&peers_.at(host));
  }
  const uint64_t seed = replica_.revision() * 64 + attempt;
  std::sort(hosts.begin(), hosts.end(),
            [&](const peer_state* a, const peer_state* b) {
              return HashOf(a->peer.host.text(), seed) <
                     HashOf(b->peer.host.text(), seed);
            });
  hosts.resize(std::min<size_t>(hosts.size(), options_.relays_per_domain));
  return hosts;
}

const host_id* configuration_spread::RandomPeer(
    const std::vector<host_id>& hosts) {
  return hosts.empty() ? nullptr : &hosts[UniformBelow(random_, hosts.size())];
}

// In turn the leader, which keeps account of all hosts, and any other.
const host_id* configuration_spread::ControlPeer() {
  const bool is_leaders_turn =
      (digests_ / options_.digests_per_control_digest) % 2 == 1;
  if (is_leaders_turn && peers_.contains(leader_)) {
    return &leader_;
  }
  return RandomPeer(control_peers_);
}

spread_progress configuration_spread::Progress(steady_time now,
                                               log_index revision) const {
  spread_progress progress;
  for (const auto& [host, peer] : peers_) {
    const bool is_live =
        peer.is_heard && now - peer.heard_at < options_.silent_after;
    if (!is_live) {
      progress.silent.push_back(host);
    } else if (peer.revision < revision) {
      progress.behind.push_back(host);
    }
  }
  if (replica_.revision() < revision) {
    progress.behind.push_back(self_.host);
  }
  return progress;
}

void configuration_spread::WriteState(nlohmann::json& out) const {
  out["reports_to"] = leader_.text();
  out["is_leader"] = is_leader_;
  nlohmann::json& counters = out["counters"];
  counters["configuration_in_force"] = replica_.revision();
  counters["configuration_pushes_sent"] = sent_pushes_;
  counters["configuration_whole_sent"] = sent_whole_;
  counters["configuration_deltas_missed"] = missed_deltas_;
  counters["configuration_domains_pending"] = pushes_.size();
}

}  // namespace shallotport
