#include "jobstore/item_dispatcher.h"

#include <algorithm>
#include <tuple>
#include <variant>
#include <vector>

namespace shallotport {

namespace {

// After a refusal the place is tried again when others may have left it.
constexpr std::chrono::milliseconds kPauseAfterRefusal{80};
constexpr std::chrono::milliseconds kPauseAfterBreak{50};
constexpr std::chrono::milliseconds kPauseAfterFailure{400};
// What a lost leader's runs have to bring again is at most this much.
constexpr std::chrono::milliseconds kSavingInterval{1'000};
// A run that made way comes back when the burst has passed its peak.
constexpr std::chrono::milliseconds kPauseAfterYield{150};
constexpr std::chrono::milliseconds kSweepInterval{500};
// Looking for items that may start goes over all that wait.
constexpr std::chrono::milliseconds kStartInterval{40};
// Added to a job's retention before items are given up: clocks may jump.
constexpr wall_milliseconds kRetentionMarginMs = 15'000;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

struct item_dispatcher::item_attempt {
  std::unique_ptr<endpoint_call> call;
  endpoint_id endpoint;
  response_head head;
  event_splitter events;
  steady_time began{};
  steady_time last_heard{};
  wall_milliseconds due = 0;  // Of its job.
};

struct item_dispatcher::item_memory {
  std::string base_event;  // The last one that is committed.
  std::string text;        // Of the events since then.
  std::string last_event;
  duration spent{};  // Running so far.
  steady_time not_before{};
  bool is_settling = false;  // Its result is being committed.
  // The part of the text that is being committed as progress.
  size_t saving_bytes = 0;
  std::string saving_event;
};

item_dispatcher::item_dispatcher(boost::asio::io_context& loop,
                                 const clock_source& clock,
                                 options options,
                                 const job_table& table,
                                 endpoint_selector& endpoints,
                                 decision_log& log,
                                 proposer propose)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      table_(table),
      endpoints_(endpoints),
      log_(log),
      propose_(std::move(propose)),
      random_(options_.seed),
      pool_(loop, clock) {}

item_dispatcher::~item_dispatcher() = default;

void item_dispatcher::SetLeading(bool is_leading) {
  if (is_leading_ == is_leading) {
    return;
  }
  is_leading_ = is_leading;
  if (is_leading) {
    return;
  }
  Abandon();
}

void item_dispatcher::OnJobChanged(const job_id& id) {
  const auto* job = table_.Find(id);
  if (job != nullptr && !job->is_cancelled) {
    return;
  }
  const steady_time now = clock_.Now();
  for (auto at = running_.lower_bound({id, 0});
       at != running_.end() && at->first.first == id;) {
    endpoints_.Release(now, at->second->endpoint, endpoint_outcome::kCancelled);
    at = running_.erase(at);
  }
  for (auto at = memories_.lower_bound({id, 0});
       at != memories_.end() && at->first.first == id;) {
    at = memories_.erase(at);
  }
}

void item_dispatcher::Tick(steady_time now, const route_table* routes) {
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    pool_.Sweep(now);
  }
  CutSilent(now);
  if (!is_leading_ || routes == nullptr) {
    return;
  }
  YieldToOnline(now);
  SaveProgress(now);
  if (now < next_start_ ||
      !endpoints_.HasFreeSlots(now, options_.online_reserve)) {
    return;
  }
  next_start_ = now + kStartInterval;
  for (const item_key& key : Candidates(now)) {
    if (!StartItem(now, *routes, key)) {
      return;  // No room: later items have none either.
    }
  }
}

// The items that may run now, the most pressing first. Those that have too
// little time left give way to those that can still be in time.
std::vector<item_dispatcher::item_key> item_dispatcher::Candidates(
    steady_time now) const {
  const wall_milliseconds wall = clock_.WallNow();
  using ranked_item = std::tuple<bool, wall_milliseconds, item_key>;
  std::vector<ranked_item> ranked;
  for (const auto& [id, job] : table_.jobs()) {
    if (!job.IsOpen()) {
      continue;
    }
    const wall_milliseconds due = job.accepted_at + job.submission.objective_ms;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      const item_key key(id, i);
      if (job.items[i].has_result || running_.contains(key)) {
        continue;
      }
      duration spent{};
      const auto memory = memories_.find(key);
      if (memory != memories_.end()) {
        const item_memory& known = memory->second;
        if (known.is_settling || now < known.not_before) {
          continue;
        }
        spent = known.spent;
      }
      const auto needed = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(expected_run_ - spent, expected_run_ / 8));
      const bool is_late = wall + needed.count() > due;
      ranked.emplace_back(is_late, due, key);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<item_key> keys;
  keys.reserve(ranked.size());
  for (const ranked_item& each : ranked) {
    keys.push_back(std::get<item_key>(each));
  }
  return keys;
}

// Commits what the runs have brought since the last time, in one command.
void item_dispatcher::SaveProgress(steady_time now) {
  if (now < next_saving_) {
    return;
  }
  next_saving_ = now + kSavingInterval;
  job_command command;
  command.kind = job_command_kind::kProgress;
  std::vector<item_key> saved;
  for (auto& [key, memory] : memories_) {
    if (memory.text.empty() || memory.is_settling || memory.saving_bytes > 0) {
      continue;
    }
    if (command.progress.empty() || command.progress.back().job != key.first) {
      command.progress.push_back({key.first, {}});
    }
    command.progress.back().items.push_back(
        {key.second, memory.base_event, memory.text, memory.last_event});
    memory.saving_bytes = memory.text.size();
    memory.saving_event = memory.last_event;
    saved.push_back(key);
  }
  if (saved.empty()) {
    return;
  }
  propose_(command, [this, saved](commit_outcome outcome) {
    for (const item_key& key : saved) {
      OnSaved(key, outcome);
    }
  });
}

void item_dispatcher::OnSaved(const item_key& key, commit_outcome outcome) {
  if (outcome == commit_outcome::kUnknown) {
    Abandon();
    return;
  }
  const auto found = memories_.find(key);
  if (found == memories_.end() || found->second.saving_bytes == 0) {
    return;
  }
  item_memory& memory = found->second;
  if (outcome == commit_outcome::kCommitted) {
    const auto* job = table_.Find(key.first);
    const bool has_fitted =
        job != nullptr &&
        (job->items[key.second].has_result ||
         job->items[key.second].last_event == memory.saving_event);
    if (!has_fitted) {
      Forget(key);
      return;
    }
    memory.text.erase(0, memory.saving_bytes);
    memory.base_event = memory.saving_event;
  }
  memory.saving_bytes = 0;
}

// The item goes on from what is committed.
void item_dispatcher::Forget(const item_key& key) {
  Cut(key, endpoint_outcome::kCancelled, duration(0));
  memories_.erase(key);
}

void item_dispatcher::Abandon() {
  const steady_time now = clock_.Now();
  for (const auto& [key, run] : running_) {
    endpoints_.Release(now, run->endpoint, endpoint_outcome::kCancelled);
  }
  running_.clear();
  memories_.clear();
}

// False when no endpoint has room.
bool item_dispatcher::StartItem(steady_time now,
                                const route_table& routes,
                                const item_key& key) {
  const auto* job = table_.Find(key.first);
  const job_item& item = job->submission.items[key.second];
  const route* on = routes.Match(job->submission.host, item.path);
  if (on == nullptr) {
    Retry(key, kPauseAfterFailure);
    return true;
  }
  selection_constraints wish;
  wish.reserved_slots = options_.online_reserve;
  const auto placed = endpoints_.Acquire(now, DrawService(*on, random_), wish);
  if (std::holds_alternative<selection_failure>(placed)) {
    return false;
  }
  const auto& at = std::get<selected_endpoint>(placed);
  // A new leader goes on after what was committed as progress.
  const auto [memory, is_new] = memories_.try_emplace(key);
  if (is_new || memory->second.last_event.empty()) {
    memory->second.base_event = job->items[key.second].last_event;
    memory->second.last_event = memory->second.base_event;
  }
  const std::string& resume_after = memory->second.last_event;
  header_list headers;
  headers.Add("Host", job->submission.host);
  headers.Add(options_.wire.request_id, item.id);
  for (const auto& [name, value] : item.headers) {
    if (!IsConnectionHeader(name) && !EqualsIgnoringCase(name, "Host") &&
        !EqualsIgnoringCase(name, options_.wire.request_id)) {
      headers.Add(name, value);
    }
  }
  headers.Add(options_.wire.expected_endpoint, at.endpoint.text());
  if (!resume_after.empty()) {
    headers.Add(options_.wire.resume_after, resume_after);
  }
  auto run = std::make_shared<item_attempt>();
  run->endpoint = at.endpoint;
  run->began = now;
  run->last_heard = now;
  run->due = job->accepted_at + job->submission.objective_ms;
  outbound_request out;
  out.method = "POST";
  out.bytes = FormatRequest("POST", item.path, headers, item.body.text());
  out.echo_header = options_.wire.request_id;
  out.echo_value = item.id;
  const std::weak_ptr<item_attempt> weak = run;
  call_events events;
  events.on_head = [weak](response_head head) {
    if (const auto self = weak.lock()) {
      self->head = std::move(head);
    }
  };
  events.on_body = [this, key, weak](std::string_view bytes) {
    const auto self = weak.lock();
    if (self == nullptr || !IsSuccess(self->head.status)) {
      return;
    }
    self->last_heard = clock_.Now();
    self->events.Feed(bytes);
    if (!self->events.data().empty()) {
      item_memory& kept = memories_.at(key);
      kept.text += self->events.data();
      kept.last_event = self->events.last_id();
    }
  };
  events.on_end = [this, key, weak](call_end end) {
    if (weak.lock() != nullptr) {
      OnEnd(key, end);
    }
  };
  running_[key] = run;
  run->call = pool_.Start(at.address, std::move(out), std::move(events));
  return true;
}

void item_dispatcher::Cut(const item_key& key,
                          endpoint_outcome how,
                          duration pause) {
  const auto found = running_.find(key);
  if (found == running_.end()) {
    return;
  }
  const steady_time now = clock_.Now();
  endpoints_.Release(now, found->second->endpoint, how);
  memories_[key].spent += now - found->second->began;
  running_.erase(found);
  Retry(key, pause);
}

void item_dispatcher::CutSilent(steady_time now) {
  std::vector<item_key> silent;
  for (const auto& [key, run] : running_) {
    if (now > run->last_heard + options_.silence_timeout) {
      silent.push_back(key);
    }
  }
  for (const item_key& key : silent) {
    log_.LogRequest("item_silent",
                    {{"job", key.first.text()},
                     {"item_place", int64_t{key.second}},
                     {"endpoint", running_.at(key)->endpoint.text()}});
    ++counters_.silent;
    Cut(key, endpoint_outcome::kBroken, kPauseAfterBreak);
  }
}

void item_dispatcher::YieldToOnline(steady_time now) {
  // By endpoint, the run whose job is due last first.
  using runs_by_due =
      std::multimap<wall_milliseconds, item_key, std::greater<>>;
  std::map<endpoint_id, runs_by_due> runs;
  for (const auto& [key, run] : running_) {
    runs[run->endpoint].emplace(run->due, key);
  }
  for (const auto& [endpoint, by_due] : runs) {
    int free = endpoints_.FreeSlots(now, endpoint);
    if (free >= 1) {
      continue;
    }
    for (const auto& [due, key] : by_due) {
      if (free >= static_cast<int>(options_.online_reserve)) {
        break;
      }
      ++counters_.yielded;
      Cut(key, endpoint_outcome::kCancelled, kPauseAfterYield);
      ++free;
    }
  }
}

void item_dispatcher::OnEnd(const item_key& key, call_end end) {
  const auto found = running_.find(key);
  if (found == running_.end()) {
    return;
  }
  const std::shared_ptr<item_attempt> run = found->second;
  running_.erase(found);
  const steady_time now = clock_.Now();
  memories_[key].spent += now - run->began;
  switch (end) {
    case call_end::kComplete:
      OnAnswered(key, *run);
      return;
    case call_end::kNotSent:
      endpoints_.Release(now, run->endpoint, endpoint_outcome::kUnreachable);
      break;
    case call_end::kConnectTimeout:
      endpoints_.Release(now, run->endpoint, endpoint_outcome::kSilent);
      break;
    case call_end::kBroken:
    case call_end::kInvalidResponse:
      ++counters_.broken;
      endpoints_.Release(now, run->endpoint, endpoint_outcome::kBroken);
      break;
  }
  Retry(key, kPauseAfterBreak);
}

void item_dispatcher::OnAnswered(const item_key& key, item_attempt& run) {
  const wire_profile& wire = options_.wire;
  const steady_time now = clock_.Now();
  const int status = run.head.status;
  if (run.head.headers.Find(wire.not_executed) != nullptr || status == 421) {
    endpoints_.Release(now, run.endpoint,
                       status == 421 ? endpoint_outcome::kOtherEndpoint
                                     : endpoint_outcome::kShed);
    ++counters_.refused;
    Retry(key, kPauseAfterRefusal);
    return;
  }
  endpoints_.Release(now, run.endpoint, endpoint_outcome::kServed);
  const bool is_proven = run.head.headers.Find(wire.endpoint_proof) != nullptr;
  if (IsSuccess(status) && is_proven && !run.events.has_partial()) {
    const item_memory& memory = memories_[key];
    ++counters_.finished;
    expected_run_ += (memory.spent - expected_run_) / 16;
    item_result result;
    result.is_completed = true;
    result.text = memory.text.substr(memory.saving_bytes);
    Record(key, std::move(result),
           memory.saving_bytes > 0 ? memory.saving_event : memory.base_event);
    return;
  }
  const auto* job = table_.Find(key.first);
  if (job == nullptr) {
    return;
  }
  const bool has_failed = status == 500;
  const uint32_t failures = job->items[key.second].failures + 1;
  const bool is_dead =
      status == 422 || (has_failed && failures >= job->submission.max_failures);
  log_.LogRequest("item_failed",
                  {{"job", key.first.text()},
                   {"item", job->submission.items[key.second].id},
                   {"endpoint", run.endpoint.text()},
                   {"status", int64_t{status}},
                   {"failures", int64_t{failures}},
                   {"dead", int64_t{is_dead ? 1 : 0}}});
  if (is_dead) {
    Record(key, {}, {});
    return;
  }
  if (has_failed) {
    job_command command;
    command.kind = job_command_kind::kRecordFailure;
    command.job = key.first;
    command.item_index = key.second;
    propose_(command, [](commit_outcome) {});
  }
  Retry(key, kPauseAfterFailure);
}

void item_dispatcher::Retry(const item_key& key, duration pause) {
  memories_[key].not_before = clock_.Now() + pause;
}

void item_dispatcher::Record(const item_key& key,
                             item_result result,
                             const std::string& base_event) {
  memories_[key].is_settling = true;
  job_command command;
  command.kind = job_command_kind::kRecord;
  command.job = key.first;
  command.item_index = key.second;
  command.result = std::move(result);
  command.base_event = base_event;
  propose_(command, [this, key](commit_outcome outcome) {
    if (outcome == commit_outcome::kUnknown) {
      Abandon();
      return;
    }
    if (outcome != commit_outcome::kNotProposed) {
      // Also ends a run that began while the result was on its way.
      Forget(key);
      return;
    }
    const auto memory = memories_.find(key);
    if (memory != memories_.end()) {
      // The run has ended: it is asked for its end again.
      memory->second.is_settling = false;
    }
  });
}

}  // namespace shallotport
