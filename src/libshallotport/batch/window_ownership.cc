#include "batch/window_ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace shallotport {

namespace {

uint64_t RendezvousScore(const host_id& host, const endpoint_id& endpoint) {
  return HashOf(host.text(), HashOf(endpoint.text()));
}

}  // namespace

std::vector<host_id> window_ownership::Successors(
    const endpoint_id& endpoint) const {
  std::vector<host_id> ranked = hosts_;
  const size_t count = std::min<size_t>(2, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(), [&](const host_id& a, const host_id& b) {
        return RendezvousScore(a, endpoint) > RendezvousScore(b, endpoint);
      });
  ranked.resize(count);
  return ranked;
}

void window_ownership::SetHosts(steady_time now,
                                std::span<const host_id> hosts) {
  hosts_.assign(hosts.begin(), hosts.end());
  UpdateOwned(now);
}

void window_ownership::SetEndpoints(steady_time now,
                                    std::span<const endpoint_id> endpoints) {
  endpoints_.assign(endpoints.begin(), endpoints.end());
  UpdateOwned(now);
}

void window_ownership::UpdateOwned(steady_time now) {
  std::map<endpoint_id, steady_time> owned;
  for (const endpoint_id& endpoint : endpoints_) {
    const std::vector<host_id> successors = Successors(endpoint);
    if (successors.empty() || successors.front() != self_) {
      continue;
    }
    const auto before = owned_.find(endpoint);
    const bool is_new = before == owned_.end();
    owned[endpoint] = is_new ? now + settings_.handover_wait : before->second;
    changes_ += is_new ? 1 : 0;
  }
  owned_ = std::move(owned);
}

bool window_ownership::MaySend(steady_time now,
                               const endpoint_id& endpoint) const {
  const auto found = owned_.find(endpoint);
  return found != owned_.end() && found->second <= now;
}

std::optional<steady_time> window_ownership::NextChange(steady_time now) const {
  std::optional<steady_time> next;
  for (const auto& [endpoint, send_from] : owned_) {
    if (send_from > now) {
      next = std::min(next.value_or(send_from), send_from);
    }
  }
  return next;
}

void window_ownership::WriteState(nlohmann::json& out) const {
  out["counters"] = {{"batch_windows_owned", owned_.size()},
                     {"batch_window_changes", changes_}};
  for (const host_id& host : hosts_) {
    out["hosts"].push_back(host.text());
  }
  for (const auto& [endpoint, send_from] : owned_) {
    out["owned"].push_back(endpoint.text());
  }
}

}  // namespace shallotport
