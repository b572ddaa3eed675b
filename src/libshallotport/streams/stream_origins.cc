#include "streams/stream_origins.h"

#include <utility>
#include <vector>

namespace shallotport {

void stream_origins::Record(steady_time now,
                            uint64_t stream,
                            const stream_origin& origin) {
  const auto used = use_counts_.try_emplace(origin, 0).first;
  ++used->second;
  Forget(stream);
  entries_[stream] = {now, ++record_count_, &used->first};
  records_.push_back({record_count_, stream});
  Expire(now);
}

const stream_origin* stream_origins::Find(steady_time now,
                                          uint64_t stream) const {
  const auto found = entries_.find(stream);
  const bool is_known =
      found != entries_.end() && !IsExpired(now, found->second);
  return is_known ? found->second.origin : nullptr;
}

stream_report stream_origins::Report(steady_time now) const {
  std::map<const stream_origin*, std::vector<uint64_t>> by_origin;
  for (const auto& [stream, each] : entries_) {
    if (!IsExpired(now, each)) {
      by_origin[each.origin].push_back(stream);
    }
  }
  stream_report report;
  for (auto& [origin, streams] : by_origin) {
    report.groups.push_back({*origin, std::move(streams)});
  }
  return report;
}

bool stream_origins::IsExpired(steady_time now, const entry& each) const {
  return now > each.recorded_at + options_.retention;
}

void stream_origins::Forget(uint64_t stream) {
  const auto found = entries_.find(stream);
  if (found != entries_.end()) {
    Release(*found->second.origin);
    entries_.erase(found);
  }
}

void stream_origins::Release(const stream_origin& origin) {
  const auto used = use_counts_.find(origin);
  if (--used->second == 0) {
    use_counts_.erase(used);
  }
}

void stream_origins::Expire(steady_time now) {
  while (!records_.empty()) {
    const queued_record& oldest = records_.front();
    const auto found = entries_.find(oldest.stream);
    const bool is_replaced =
        found == entries_.end() || found->second.record != oldest.record;
    const bool is_due = is_replaced || IsExpired(now, found->second) ||
                        entries_.size() > options_.max_count ||
                        records_.size() > 2 * options_.max_count;
    if (!is_due) {
      return;
    }
    if (!is_replaced) {
      Forget(oldest.stream);
    }
    records_.pop_front();
  }
}

}  // namespace shallotport
