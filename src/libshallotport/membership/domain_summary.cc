#include "membership/domain_summary.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "base/digest.h"
#include "membership/registry_message.h"

namespace shallotport {

namespace {

// Two copies of a summary whose computation times differ by less than this are
// taken as one computation that was delayed differently on two paths.
constexpr duration kSameComputationWindow{200'000};

template <typename Id>
uint32_t KeyOf(const Id& id) {
  return static_cast<uint32_t>(HashOf(id.text()));
}

bool HasSameCounts(const summary_item& a, const summary_item& b) {
  return a.endpoints == b.endpoints && a.slots == b.slots &&
         a.running == b.running && a.queued == b.queued;
}

}  // namespace

std::string EncodeSummaryMessage(const summary_message& message) {
  return Encode(message);
}

result<summary_message> DecodeSummaryMessage(std::string_view bytes) {
  return Decode<summary_message>(bytes);
}

domain_summary_table::domain_summary_table(domain_summary_options options,
                                           steady_time now,
                                           uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      self_key_(KeyOf(options_.domain)),
      next_far_(random_()),
      next_round_(now) {
  for (const summary_domain& other : options_.domains) {
    domain_names_.emplace(KeyOf(other.domain), other.domain);
  }
}

void domain_summary_table::SetLocal(steady_time now,
                                    const std::vector<service_summary>& local) {
  for (auto& [key, known] : items_) {
    if (key.first == self_key_) {
      known.item.endpoints = 0;
      known.item.slots = 0;
      known.item.running = 0;
      known.item.queued = 0;
      known.computed_at = now;
    }
  }
  for (const service_summary& summary : local) {
    const item_key key{self_key_, KeyOf(summary.service)};
    known_item& known = items_[key];
    known.item = {key.first,
                  key.second,
                  summary.endpoints,
                  summary.slots,
                  summary.running,
                  summary.queued,
                  0};
    known.computed_at = now;
  }
}

void domain_summary_table::SetPeers(std::vector<host_id> peers) {
  peers_ = std::move(peers);
}

void domain_summary_table::SetServices(
    const std::vector<service_id>& services) {
  service_names_.clear();
  for (const service_id& service : services) {
    service_names_.emplace(KeyOf(service), service);
  }
}

void domain_summary_table::OnMessage(steady_time now,
                                     const summary_message& message) {
  for (const summary_item& item : message.items) {
    MergeItem(now, item);
  }
}

void domain_summary_table::MergeItem(steady_time now,
                                     const summary_item& item) {
  ++received_items_;
  const duration age = AgeOf(item.age_milliseconds);
  const item_key key{item.domain_key, item.service_key};
  const auto found = items_.find(key);
  const bool is_own = item.domain_key == self_key_;
  const bool is_refused =
      is_own || age >= options_.max_age ||
      (found == items_.end() && items_.size() >= options_.max_items);
  if (is_refused) {
    ++stale_items_;
    return;
  }
  const steady_time computed_at = now - age;
  known_item& known = items_[key];
  const bool is_new = found == items_.end();
  if (!is_new && computed_at < known.computed_at + kSameComputationWindow) {
    ++stale_items_;
    return;
  }
  if (is_new || !HasSameCounts(known.item, item)) {
    known.sends_left = options_.sends_per_change;
  }
  known.item = item;
  known.computed_at = computed_at;
}

std::vector<send_summary> domain_summary_table::OnTimer(steady_time now) {
  std::vector<send_summary> out;
  if (now < next_round_) {
    return out;
  }
  next_round_ = now + options_.period;
  ++rounds_;
  std::erase_if(items_, [this, now](const auto& entry) {
    return now - entry.second.computed_at >= options_.max_age;
  });
  if (IsRelay()) {
    SendToDomains(now, out);
  }
  const summary_message message = MakeGossipMessage(now, false);
  if (message.items.empty()) {
    return out;
  }
  std::vector<host_id> receivers = peers_;
  std::shuffle(receivers.begin(), receivers.end(), random_);
  receivers.resize(
      std::min<size_t>(receivers.size(), options_.peers_per_round));
  for (const host_id& peer : receivers) {
    out.push_back({peer, {}, message});
  }
  return out;
}

void domain_summary_table::SendToDomains(steady_time now,
                                         std::vector<send_summary>& out) {
  std::vector<const summary_domain*> near;
  std::vector<const summary_domain*> far;
  for (const summary_domain& other : options_.domains) {
    if (!other.contacts.empty()) {
      (other.is_near ? near : far).push_back(&other);
    }
  }
  std::vector<const summary_domain*> chosen;
  const size_t count =
      std::min<size_t>(near.size(), options_.near_domains_per_round);
  for (size_t i = 0; i < count; ++i) {
    chosen.push_back(near[next_near_++ % near.size()]);
  }
  if (!far.empty() && rounds_ % options_.rounds_per_far_domain == 0) {
    chosen.push_back(far[next_far_++ % far.size()]);
  }
  for (const summary_domain* other : chosen) {
    const auto& [host, address] =
        other->contacts[next_contact_++ % other->contacts.size()];
    summary_message message = other->is_near ? MakeOwnDomainMessage(now)
                                             : MakeGossipMessage(now, true);
    if (!message.items.empty()) {
      out.push_back({host, address, std::move(message)});
    }
  }
}

bool domain_summary_table::IsRelay() const {
  const auto rank = [this](const host_id& host) {
    return HashOf(host.text(), self_key_);
  };
  const uint64_t own = rank(options_.self);
  const auto above =
      std::count_if(peers_.begin(), peers_.end(),
                    [&](const host_id& peer) { return rank(peer) > own; });
  return static_cast<uint32_t>(above) < options_.relays;
}

summary_message domain_summary_table::MakeOwnDomainMessage(steady_time now) {
  summary_message message;
  AddItemsInRotation(now, own_rotation_, message, [this](const item_key& key) {
    return key.first == self_key_;
  });
  return message;
}

// Changed summaries that have sends left first, then all others in rotation.
summary_message domain_summary_table::MakeGossipMessage(
    steady_time now,
    bool includes_own_domain) {
  summary_message message;
  // Half of the message is reserved for the rotation.
  const size_t limit = options_.items_per_message / 2;
  for (auto& [key, known] : items_) {
    if (known.sends_left > 0 && message.items.size() < limit) {
      --known.sends_left;
      AddItem(now, known, message);
    }
  }
  AddItemsInRotation(now, rotation_, message,
                     [this, includes_own_domain](const item_key& key) {
                       return includes_own_domain || key.first != self_key_;
                     });
  return message;
}

template <typename Predicate>
void domain_summary_table::AddItemsInRotation(steady_time now,
                                              item_key& rotation,
                                              summary_message& message,
                                              Predicate is_wanted) const {
  for (size_t examined = 0; examined < items_.size() &&
                            message.items.size() < options_.items_per_message;
       ++examined) {
    auto next = items_.upper_bound(rotation);
    if (next == items_.end()) {
      next = items_.begin();
    }
    rotation = next->first;
    if (is_wanted(next->first)) {
      AddItem(now, next->second, message);
    }
  }
}

void domain_summary_table::AddItem(steady_time now,
                                   const known_item& known,
                                   summary_message& message) const {
  summary_item item = known.item;
  item.age_milliseconds = AgeInMilliseconds(now - known.computed_at);
  message.items.push_back(item);
}

std::vector<service_summary> domain_summary_table::Find(
    steady_time now,
    const service_id& service) const {
  std::vector<service_summary> summaries;
  const uint32_t service_key = KeyOf(service);
  for (const auto& [domain_key, domain] : domain_names_) {
    const auto found = items_.find({domain_key, service_key});
    if (found == items_.end() ||
        now - found->second.computed_at >= options_.max_age) {
      continue;
    }
    const summary_item& item = found->second.item;
    summaries.push_back({domain, service, item.endpoints, item.slots,
                         item.running, item.queued});
  }
  return summaries;
}

void domain_summary_table::WriteState(nlohmann::json& out) const {
  nlohmann::json& summaries = out["summaries"] = nlohmann::json::array();
  for (const auto& [key, known] : items_) {
    const auto domain = domain_names_.find(key.first);
    const auto service = service_names_.find(key.second);
    summaries.push_back(
        {{"domain", domain == domain_names_.end() ? std::to_string(key.first)
                                                  : domain->second.text()},
         {"service", service == service_names_.end()
                         ? std::to_string(key.second)
                         : service->second.text()},
         {"endpoints", known.item.endpoints},
         {"slots", known.item.slots},
         {"running", known.item.running},
         {"queued", known.item.queued}});
  }
  out["relay"] = IsRelay();
  out["counters"] = {{"summaries", items_.size()},
                     {"received_items", received_items_},
                     {"stale_items", stale_items_}};
}

}  // namespace shallotport
