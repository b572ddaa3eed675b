#include "streams/stream_origin_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

// Of frames with new records; well below the time to a stream's first event.
constexpr std::chrono::milliseconds kFlushInterval{5};
constexpr std::chrono::milliseconds kTargetUpdateInterval{100};
// Without load totals for this long, the leader is assumed to be lost.
constexpr std::chrono::milliseconds kLeaderTimeout{800};
// A store may be in a sync of its disk for tens of milliseconds. Well below the
// time after which a caller gives a stream up.
constexpr std::chrono::milliseconds kQueryTimeout{200};

}  // namespace

stream_origin_client::stream_origin_client(const clock_source& clock,
                                           fleet_host& fleet)
    : clock_(clock), fleet_(fleet) {}

void stream_origin_client::SetLeader(steady_time now, const std::string& ip) {
  const bool is_new = std::exchange(leader_ip_, ip) != ip;
  leader_heard_at_ = now;
  if (is_new) {
    UpdateTargets(now);
  }
}

void stream_origin_client::Record(uint64_t stream,
                                  const stream_origin& origin) {
  const steady_time now = clock_.Now();
  const stream_origin* known = own_.Find(now, stream);
  const bool is_replaced = known != nullptr && *known != origin;
  own_.Record(now, stream, origin);
  if (is_replaced) {
    // A store that has the former record must not be asked for it.
    Flush();
    stream_report report;
    report.groups.push_back({origin, {stream}});
    for (const host_announcement& store : LinkedStores()) {
      Send(store.host.text(), report);
    }
    return;
  }
  unsent_[origin].push_back(stream);
  if (now >= flushed_at_ + kFlushInterval) {
    Flush();
  }
}

void stream_origin_client::Flush() {
  if (unsent_.empty()) {
    return;
  }
  flushed_at_ = clock_.Now();
  stream_report report;
  for (auto& [origin, streams] : unsent_) {
    report.groups.push_back({origin, std::move(streams)});
  }
  unsent_.clear();
  for (const auto& [ip, start] : targets_) {
    Send(ip, report);
  }
}

void stream_origin_client::Send(const std::string& ip,
                                const stream_report& report) {
  fleet_.hub().Send(ip, static_cast<uint8_t>(fleet_frame::kStreams),
                    Encode(report));
}

void stream_origin_client::Find(uint64_t stream, find_handler on_found) const {
  if (const auto* own = own_.Find(clock_.Now(), stream)) {
    on_found({origin_source::kOwn, *own});
    return;
  }
  const std::vector<host_announcement> stores = LinkedStores();
  if (stores.empty()) {
    on_found({});
    return;
  }
  struct pending_query {
    size_t unanswered = 0;
    find_handler on_found;
  };
  auto pending = std::make_shared<pending_query>();
  pending->unanswered = stores.size();
  pending->on_found = std::move(on_found);
  const auto on_reply = [pending](const result<std::string>& reply) {
    --pending->unanswered;
    const auto decoded = IsOk(reply) ? Decode<stream_reply>(ValueOf(reply))
                                     : result<stream_reply>(ErrorOf(reply));
    const bool is_known = IsOk(decoded) && ValueOf(decoded).is_known;
    if (!pending->on_found || (!is_known && pending->unanswered > 0)) {
      return;
    }
    const find_handler handler = std::exchange(pending->on_found, nullptr);
    handler(is_known
                ? found_origin{origin_source::kStore, ValueOf(decoded).origin}
                : found_origin{});
  };
  for (const host_announcement& store : stores) {
    fleet_.hub().Call(store.host.text(),
                      static_cast<uint8_t>(fleet_call::kFindStream),
                      Encode(stream_query{stream}), kQueryTimeout, on_reply);
  }
}

void stream_origin_client::Tick(steady_time now) {
  Flush();
  if (now >= next_target_update_) {
    UpdateTargets(now);
  }
}

std::vector<host_announcement> stream_origin_client::LinkedStores() const {
  std::vector<host_announcement> stores = fleet_.LiveHosts(host_role::kStore);
  std::erase_if(stores, [this](const host_announcement& store) {
    return !fleet_.hub().IsUp(store.host.text());
  });
  return stores;
}

std::vector<host_announcement> stream_origin_client::SelectTargets(
    steady_time now) const {
  std::vector<host_announcement> stores = LinkedStores();
  const auto leader = std::find_if(stores.begin(), stores.end(),
                                   [this](const host_announcement& store) {
                                     return store.host.text() == leader_ip_;
                                   });
  const bool has_leader =
      leader != stores.end() && now < leader_heard_at_ + kLeaderTimeout;
  if (!has_leader) {
    return stores;
  }
  std::iter_swap(stores.begin(), leader);
  const auto is_near = [this](const host_announcement& store) {
    return store.domain == fleet_.self().domain;
  };
  const auto near =
      std::find_if(std::next(stores.begin()), stores.end(), is_near);
  if (near != stores.end()) {
    std::iter_swap(std::next(stores.begin()), near);
  }
  stores.resize(std::min<size_t>(stores.size(), 2));
  return stores;
}

void stream_origin_client::UpdateTargets(steady_time now) {
  next_target_update_ = now + kTargetUpdateInterval;
  Flush();
  std::map<std::string, incarnation> selected;
  for (const host_announcement& store : SelectTargets(now)) {
    const std::string& ip = store.host.text();
    selected[ip] = store.start_id;
    const auto known = targets_.find(ip);
    const bool has_records =
        known != targets_.end() && known->second == store.start_id;
    if (!has_records && own_.size() > 0) {
      Send(ip, own_.Report(now));
    }
  }
  targets_ = std::move(selected);
}

}  // namespace shallotport
