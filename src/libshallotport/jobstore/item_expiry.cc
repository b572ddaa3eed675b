#include "jobstore/item_expiry.h"

#include <algorithm>

#include "entry/route_table.h"
#include "jobstore/accepted_route.h"
#include "jobstore/job_table.h"

namespace shallotport {

namespace {

bool IsPastRetention(const job_table::job_state& job, wall_milliseconds wall) {
  const wall_milliseconds retention = job.submission.retention_ms;
  return retention != 0 &&
         wall > job.accepted_at + retention + item_expiry::kRetentionMarginMs;
}

}  // namespace

const route* RouteOf(const route_table& routes,
                     const job_submission& submission,
                     uint32_t item_index) {
  const route* own =
      routes.Match(submission.host, submission.items[item_index].path);
  return own != nullptr
             ? own
             : routes.Match(submission.host,
                            ParseAcceptedRoute(submission.prefix).prefix);
}

void item_expiry::UpdateRoutes(steady_time now,
                               const job_table& table,
                               const route_table& routes) {
  std::erase_if(jobs_, [&table](const auto& each) {
    const auto* job = table.Find(each.first);
    return job == nullptr || !job->IsOpen();
  });
  const uint64_t version = routes.configuration().version;
  for (const auto& [id, job] : table.jobs()) {
    if (!job.IsOpen()) {
      continue;
    }
    const auto [at, is_new] = jobs_.try_emplace(id);
    job_routes& known = at->second;
    if (!is_new && known.checked_version == version) {
      continue;
    }
    known.checked_version = version;
    std::map<uint32_t, steady_time> unmatched;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      if (!job.items[i].has_result &&
          RouteOf(routes, job.submission, i) == nullptr) {
        const auto before = known.unmatched.find(i);
        unmatched[i] = before == known.unmatched.end() ? now : before->second;
      }
    }
    if (unmatched.empty()) {
      known.matched_version = version;
    }
    known.unmatched = std::move(unmatched);
  }
}

std::vector<expired_item> item_expiry::Find(
    steady_time now,
    wall_milliseconds wall,
    const job_table& table,
    const route_table& routes,
    size_t max_items,
    const std::function<bool(const item_key& key)>& is_busy) {
  UpdateRoutes(now, table, routes);
  std::vector<expired_item> expired;
  const auto add = [&](const item_key& key, expiry_reason reason) {
    if (expired.size() < max_items &&
        !table.Find(key.first)->items[key.second].has_result && !is_busy(key)) {
      expired.push_back({key, reason});
    }
  };
  for (const auto& [id, known] : jobs_) {
    const job_table::job_state& job = *table.Find(id);
    if (IsPastRetention(job, wall)) {
      for (uint32_t i = 0; i < job.items.size(); ++i) {
        add({id, i}, expiry_reason::kRetention);
      }
      continue;
    }
    const std::optional<uint64_t> accepted_version =
        ParseAcceptedRoute(job.submission.prefix).version;
    // nullopt is less than any version.
    const auto had_route_at = std::max(accepted_version, known.matched_version);
    if (!had_route_at || *had_route_at >= known.checked_version) {
      continue;
    }
    for (const auto& [item, since] : known.unmatched) {
      if (now >= since + kRouteEndGrace) {
        add({id, item}, expiry_reason::kRouteEnded);
      }
    }
  }
  return expired;
}

}  // namespace shallotport
