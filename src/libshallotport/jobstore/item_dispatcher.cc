#include "jobstore/item_dispatcher.h"

#include <algorithm>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "entry/attempt_observation.h"
#include "entry/leave_notice.h"
#include "entry/limit_log.h"
#include "entry/output_period.h"
#include "entry/poison_log.h"
#include "entry/response_kind.h"
#include "entry/skipped_response_log.h"
#include "jobstore/item_version_policy.h"
#include "jobstore/online_reserve.h"

namespace shallotport {

namespace {

// By then another request may have freed a slot.
constexpr std::chrono::milliseconds kRetryDelayAfterRefusal{80};
constexpr std::chrono::milliseconds kRetryDelayAfterBreak{50};
constexpr std::chrono::milliseconds kRetryDelayAfterFailure{400};
// Bounds the output that endpoints have to produce again after a leader is
// lost.
constexpr std::chrono::milliseconds kProgressCommitInterval{1'000};
// Long enough for the peak of a burst of online requests to pass.
constexpr std::chrono::milliseconds kRetryDelayAfterYield{150};
// No longer than a blocked part may take to be released.
constexpr std::chrono::milliseconds kRetryDelayWhileBlocked{500};
constexpr std::chrono::milliseconds kSweepInterval{500};
// The search for items to send visits every waiting item.
constexpr std::chrono::milliseconds kDispatchInterval{40};
constexpr std::chrono::milliseconds kExpiryCheckInterval{1'000};
// Bounds the commands that one check adds to the log; the next one follows
// soon.
constexpr size_t kMaxExpiredPerCheck = 50;
constexpr std::chrono::milliseconds kNextExpiryCheckDelay{100};

}  // namespace

struct item_dispatcher::item_attempt {
  std::unique_ptr<endpoint_call> call;
  std::string item_id;
  request_traits traits;
  endpoint_id endpoint;
  uint64_t start_time_ms = 0;  // Of the endpoint.
  response_head head;
  response_kind kind = response_kind::kNone;
  event_splitter events;
  output_period output;
  steady_time begun_at{};
  steady_time last_event_at{};     // Or its begin; in running time.
  wall_milliseconds deadline = 0;  // Of its job, in wall time.
  item_selection selection;
};

struct item_dispatcher::pending_item {
  std::string base_event;  // The last committed event.
  std::string text;        // Of the events after base_event.
  std::string last_event;
  // Of the text, committed and uncommitted; none before its first event.
  std::optional<stream_origin> origin;
  // The text replaces the committed text instead of continuing it.
  bool is_restart = false;
  duration time_spent{};  // Executing the text, over all attempts.
  steady_time first_attempt_at{};
  steady_time retry_at{};
  bool is_committing_result = false;
  bool has_broken = false;  // An attempt, and none has had output since.
  // The prefix of the text that is being committed as progress, and its last
  // event.
  size_t committing_bytes = 0;
  std::string committing_event;
};

// What one search for items to send has found out.
struct item_dispatcher::dispatch_round {
  // Without a free slot: services, or single versions of them.
  std::set<std::pair<service_id, std::optional<std::string>>> exhausted;
  bool is_over = false;  // No endpoint has a free slot.
  // Of the item that is looked at.
  bool is_repeat = false;
  bool is_item_blocked = false;  // Endpoints crash under its prompt.
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
      pool_(loop, clock),
      crash_observer_(clock, pool_, endpoints.crashes()) {
  crash_observer_.on_ended = [this](const endpoint_start& start) {
    endpoints_.RecordEnded(clock_.Now(), start);
  };
  LogCrashes(crash_observer_, log_);
  LogSkippedResponses(pool_, log_);
}

item_dispatcher::~item_dispatcher() = default;

void item_dispatcher::SetLeading(bool is_leading) {
  if (is_leading_ == is_leading) {
    return;
  }
  is_leading_ = is_leading;
  expiry_.Reset();
  if (is_leading) {
    return;
  }
  DiscardAllUncommitted();
}

void item_dispatcher::OnJobChanged(const job_id& id) {
  const auto* job = table_.Find(id);
  if (job != nullptr && !job->is_cancelled) {
    return;
  }
  const steady_time now = clock_.Now();
  for (auto at = attempts_.lower_bound({id, 0});
       at != attempts_.end() && at->first.first == id;) {
    endpoints_.Release(now, at->second->endpoint, endpoint_outcome::kCancelled);
    at = attempts_.erase(at);
  }
  for (auto at = pending_items_.lower_bound({id, 0});
       at != pending_items_.end() && at->first.first == id;) {
    at = pending_items_.erase(at);
  }
}

void item_dispatcher::Tick(steady_time now, const route_table* routes) {
  if (now >= next_sweep_at_) {
    next_sweep_at_ = now + kSweepInterval;
    pool_.Sweep(now);
  }
  AbortSilent(running_time_.Tick(now));
  if (!is_leading_ || routes == nullptr) {
    return;
  }
  YieldToOnline(now);
  CommitProgress(now);
  if (now >= next_expiry_check_at_) {
    GiveUpExpired(now, *routes);
  }
  if (now < next_dispatch_at_ || !endpoints_.HasFreeSlots(now, 0)) {
    return;
  }
  next_dispatch_at_ = now + kDispatchInterval;
  dispatch_round round;
  for (const item_key& key : Candidates(now)) {
    if (round.is_over) {
      return;
    }
    BeginAttempt(now, *routes, key, round);
  }
}

// The items that may be sent now, in the schedule's order.
std::vector<item_key> item_dispatcher::Candidates(steady_time now) const {
  const wall_milliseconds wall = clock_.WallNow();
  using ranked_item = std::pair<item_rank, item_key>;
  std::vector<ranked_item> ranked;
  for (const auto& [id, job] : table_.jobs()) {
    if (!job.IsOpen()) {
      continue;
    }
    const wall_milliseconds deadline =
        job.accepted_at + job.submission.objective_ms;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      const item_key key(id, i);
      if (job.items[i].has_result || attempts_.contains(key)) {
        continue;
      }
      duration time_spent{};
      const auto item_state = pending_items_.find(key);
      if (item_state != pending_items_.end()) {
        const pending_item& pending = item_state->second;
        if (pending.is_committing_result || now < pending.retry_at) {
          continue;
        }
        time_spent = pending.time_spent;
      }
      ranked.emplace_back(schedule_.Rank(wall, {deadline, time_spent}), key);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<item_key> keys;
  keys.reserve(ranked.size());
  for (const ranked_item& each : ranked) {
    keys.push_back(each.second);
  }
  return keys;
}

void item_dispatcher::GiveUpExpired(steady_time now,
                                    const route_table& routes) {
  const auto is_busy = [this](const item_key& key) {
    const auto pending = pending_items_.find(key);
    return attempts_.contains(key) || (pending != pending_items_.end() &&
                                       pending->second.is_committing_result);
  };
  const auto expired = expiry_.Find(now, clock_.WallNow(), table_, routes,
                                    kMaxExpiredPerCheck, is_busy);
  next_expiry_check_at_ =
      now + (expired.size() < kMaxExpiredPerCheck ? kExpiryCheckInterval
                                                  : kNextExpiryCheckDelay);
  for (const auto& [key, reason] : expired) {
    const bool has_route_ended = reason == expiry_reason::kRouteEnded;
    ++(has_route_ended ? counters_.route_ended : counters_.expired);
    log_.LogRequest(
        has_route_ended ? "item_route_ended" : "item_expired",
        {{"job", key.first.text()}, {"item_place", int64_t{key.second}}});
    CommitResult(key, {});
  }
}

// Commits the output received since the last commit, of all items in one
// command.
void item_dispatcher::CommitProgress(steady_time now) {
  if (now < next_progress_commit_at_) {
    return;
  }
  next_progress_commit_at_ = now + kProgressCommitInterval;
  job_command command;
  command.kind = job_command_kind::kProgress;
  std::vector<item_key> committing;
  for (auto& [key, item_state] : pending_items_) {
    if (item_state.text.empty() || item_state.is_committing_result ||
        item_state.committing_bytes > 0) {
      continue;
    }
    if (command.progress.empty() || command.progress.back().job != key.first) {
      command.progress.push_back({key.first, {}});
    }
    command.progress.back().items.push_back(
        {key.second, item_state.base_event, item_state.text,
         item_state.last_event, item_state.origin.value_or(stream_origin{}),
         item_state.is_restart});
    item_state.committing_bytes = item_state.text.size();
    item_state.committing_event = item_state.last_event;
    committing.push_back(key);
  }
  if (committing.empty()) {
    return;
  }
  propose_(command, [this, committing](commit_outcome outcome) {
    for (const item_key& key : committing) {
      OnProgressCommitted(key, outcome);
    }
  });
}

void item_dispatcher::OnProgressCommitted(const item_key& key,
                                          commit_outcome outcome) {
  if (outcome == commit_outcome::kUnknown) {
    DiscardAllUncommitted();
    return;
  }
  const auto found = pending_items_.find(key);
  if (found == pending_items_.end() || found->second.committing_bytes == 0) {
    return;
  }
  pending_item& item_state = found->second;
  if (outcome == commit_outcome::kCommitted) {
    const auto* job = table_.Find(key.first);
    const bool is_current =
        job != nullptr &&
        (job->items[key.second].has_result ||
         (job->items[key.second].last_event == item_state.committing_event &&
          job->items[key.second].origin == item_state.origin));
    if (!is_current) {
      DiscardUncommitted(key);
      return;
    }
    item_state.text.erase(0, item_state.committing_bytes);
    item_state.base_event = item_state.committing_event;
    item_state.is_restart = false;
  }
  item_state.committing_bytes = 0;
}

void item_dispatcher::DiscardUncommitted(const item_key& key) {
  AbortAttempt(key, endpoint_outcome::kCancelled, duration(0));
  pending_items_.erase(key);
}

void item_dispatcher::DiscardAllUncommitted() {
  const steady_time now = clock_.Now();
  for (const auto& [key, attempt] : attempts_) {
    endpoints_.Release(now, attempt->endpoint, endpoint_outcome::kCancelled);
  }
  attempts_.clear();
  pending_items_.clear();
}

bool item_dispatcher::HasSlotAboveReserve(steady_time now,
                                          const service_id& service) const {
  const auto usage = endpoints_.SlotUsage(now, service);
  const bool has_attempts =
      std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& each) {
        return each.second->selection.origin.service == service;
      });
  return HasSlotForItem({usage.slots, usage.taken, has_attempts},
                        options_.online_reserve);
}

std::optional<item_dispatcher::item_selection> item_dispatcher::AcquireSlot(
    steady_time now,
    const service_id& service,
    const std::optional<std::string>& software_version,
    const job_item& item,
    dispatch_round& round) {
  if (round.exhausted.contains({service, std::nullopt}) ||
      round.exhausted.contains({service, software_version})) {
    return std::nullopt;
  }
  const bool has_slots = HasSlotAboveReserve(now, service);
  selection_constraints constraints;
  const request_traits traits = TraitsOf(item);
  constraints.is_batch = true;
  constraints.is_limited_rate_only = !has_slots;
  constraints.software_version = software_version;
  constraints.prefers_known_version = true;
  constraints.traits = &traits;
  constraints.is_repeat = round.is_repeat;
  constraints.is_trial = endpoints_.crashes().IsTrialDue(now, traits);
  const auto selection = endpoints_.Acquire(now, service, constraints);
  if (const auto* selected = std::get_if<selected_endpoint>(&selection)) {
    if (constraints.is_trial) {
      endpoints_.crashes().BeginTrial(now, traits);
      log_.LogRequest("item_trial",
                      {{"item", item.id},
                       {"endpoint", selected->endpoint.text()},
                       {"prompt_parts", FormatPromptParts(traits.parts)}});
    }
    return item_selection{*selected, {service, selected->software_version}};
  }
  if (std::get<selection_failure>(selection) == selection_failure::kPoison) {
    round.is_item_blocked = true;
    return std::nullopt;
  }
  round.exhausted.emplace(service, has_slots ? software_version : std::nullopt);
  round.is_over = !endpoints_.HasFreeSlots(now, 0);
  return std::nullopt;
}

std::optional<item_dispatcher::item_selection> item_dispatcher::SelectForItem(
    steady_time now,
    const route& item_route,
    const item_key& key,
    dispatch_round& round) {
  const auto* job = table_.Find(key.first);
  const auto found = pending_items_.find(key);
  const pending_item* pending =
      found == pending_items_.end() ? nullptr : &found->second;
  const bool is_pending =
      pending != nullptr && (pending->origin || pending->is_restart);
  const job_item& item = job->submission.items[key.second];
  const std::optional<stream_origin>& origin =
      is_pending ? pending->origin : job->items[key.second].origin;
  item_text_facts facts;
  facts.has_begun = origin.has_value();
  if (origin) {
    const wall_milliseconds deadline =
        job->accepted_at + job->submission.objective_ms;
    const duration time_spent =
        pending == nullptr ? duration(0) : pending->time_spent;
    facts.is_origin_ready =
        item_route.SendsTo(origin->service) &&
        endpoints_.IsVersionServing(origin->service, origin->software_version);
    facts.can_be_in_time =
        !schedule_.Rank(clock_.WallNow(), {deadline, time_spent}).is_late;
    facts.is_committing = pending != nullptr && pending->committing_bytes > 0;
  }
  const version_choice choice = ChooseVersion(facts);
  if (choice == version_choice::kOwnVersion ||
      choice == version_choice::kOwnVersionFirst) {
    auto selection = AcquireSlot(now, origin->service, origin->software_version,
                                 item, round);
    if (selection) {
      return selection;
    }
  }
  if (choice == version_choice::kOwnVersion ||
      choice == version_choice::kNone) {
    return std::nullopt;
  }
  return AcquireSlot(now, DrawService(item_route, random_), std::nullopt, item,
                     round);
}

request_traits item_dispatcher::TraitsOf(const job_item& item) const {
  header_list headers;
  for (const auto& [name, value] : item.headers) {
    headers.Add(name, value);
  }
  return {SharedPromptParts(headers, options_.wire.prompt_parts)};
}

observed_attempt item_dispatcher::Observed(const item_attempt& attempt) const {
  return ObservationOf(attempt.selection.endpoint,
                       attempt.selection.origin.service, attempt.item_id,
                       attempt.begun_at, attempt.output, attempt.traits);
}

item_dispatcher::pending_item& item_dispatcher::PendingItem(
    const item_key& key) {
  pending_item& item_state = pending_items_[key];
  if (!item_state.origin && !item_state.is_restart) {
    // A new leader resumes after the committed progress.
    const auto& committed = table_.Find(key.first)->items[key.second];
    item_state.base_event = committed.last_event;
    item_state.last_event = committed.last_event;
    item_state.origin = committed.origin;
  }
  return item_state;
}

void item_dispatcher::DiscardText(const item_key& key,
                                  pending_item& item_state,
                                  const stream_origin& next_origin) {
  ++counters_.restarted;
  log_.LogRequest("item_begins_anew",
                  {{"job", key.first.text()},
                   {"item_place", int64_t{key.second}},
                   {"last_event", item_state.last_event},
                   {"origin_service", item_state.origin->service.text()},
                   {"origin_version", item_state.origin->software_version},
                   {"service", next_origin.service.text()},
                   {"software_version", next_origin.software_version}});
  item_state.text.clear();
  item_state.last_event.clear();
  item_state.origin.reset();
  item_state.is_restart = true;
  item_state.time_spent = {};
}

void item_dispatcher::BeginAttempt(steady_time now,
                                   const route_table& routes,
                                   const item_key& key,
                                   dispatch_round& round) {
  const auto* job = table_.Find(key.first);
  const job_item& item = job->submission.items[key.second];
  const route* matched_route = RouteOf(routes, job->submission, key.second);
  if (matched_route == nullptr) {
    ScheduleRetry(key, kRetryDelayAfterFailure);
    return;
  }
  const auto pending = pending_items_.find(key);
  round.is_repeat =
      pending != pending_items_.end() && pending->second.has_broken;
  round.is_item_blocked = false;
  const auto selection = SelectForItem(now, *matched_route, key, round);
  if (!selection) {
    if (round.is_item_blocked) {
      ++counters_.poison;
      ScheduleRetry(key, kRetryDelayWhileBlocked);
    }
    return;
  }
  const selected_endpoint& selected = selection->endpoint;
  pending_item& item_state = PendingItem(key);
  const bool continues_text = item_state.origin == selection->origin &&
                              !selection->origin.software_version.empty() &&
                              ParseEventNumber(item_state.last_event);
  if (item_state.origin && !continues_text) {
    DiscardText(key, item_state, selection->origin);
  }
  if (item_state.first_attempt_at == steady_time{}) {
    item_state.first_attempt_at = now;
  }
  const std::string& resume_after = item_state.last_event;
  header_list headers;
  headers.Add("Host", job->submission.host);
  headers.Add(options_.wire.request_id, item.id);
  for (const auto& [name, value] : item.headers) {
    if (!IsConnectionHeader(name) && !EqualsIgnoringCase(name, "Host") &&
        !EqualsIgnoringCase(name, options_.wire.request_id)) {
      headers.Add(name, value);
    }
  }
  headers.Add(options_.wire.expected_endpoint, selected.endpoint.text());
  if (!resume_after.empty()) {
    headers.Add(options_.wire.resume_after, resume_after);
  }
  auto attempt = std::make_shared<item_attempt>();
  counters_.attempts_at_limited +=
      endpoints_.limits().IsLimited({selected.endpoint, selected.start_time_ms})
          ? 1
          : 0;
  attempt->item_id = item.id;
  attempt->traits = TraitsOf(item);
  attempt->endpoint = selected.endpoint;
  attempt->start_time_ms = selected.start_time_ms;
  attempt->begun_at = now;
  attempt->last_event_at = running_time_.At(now);
  attempt->deadline = job->accepted_at + job->submission.objective_ms;
  attempt->selection = *selection;
  attempt->events = event_splitter(event_sequence(resume_after));
  outbound_request request;
  request.method = "POST";
  request.bytes = FormatRequest("POST", item.path, headers, item.body.text());
  request.echo_header = options_.wire.request_id;
  request.echo_value = item.id;
  const std::weak_ptr<item_attempt> weak = attempt;
  call_events events;
  events.on_head = [this, key, weak](response_head head) {
    if (const auto self = weak.lock()) {
      OnHead(key, *self, std::move(head));
    }
  };
  events.on_body = [this, key, weak](std::string_view bytes) {
    const auto self = weak.lock();
    if (self != nullptr && self->kind == response_kind::kStream) {
      OnBody(key, *self, bytes);
    }
  };
  events.on_end = [this, key, weak](call_end end) {
    if (weak.lock() != nullptr) {
      OnAttemptEnd(key, end);
    }
  };
  attempts_[key] = attempt;
  attempt->call =
      pool_.Start(selected.address, std::move(request), std::move(events));
}

void item_dispatcher::AbortAttempt(const item_key& key,
                                   endpoint_outcome outcome,
                                   duration delay) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) {
    return;
  }
  const steady_time now = clock_.Now();
  endpoints_.Release(now, found->second->endpoint, outcome);
  pending_items_[key].time_spent += now - found->second->begun_at;
  attempts_.erase(found);
  ScheduleRetry(key, delay);
}

void item_dispatcher::AbortSilent(steady_time now) {
  std::vector<item_key> silent;
  for (const auto& [key, attempt] : attempts_) {
    if (now > attempt->last_event_at + options_.silence_timeout) {
      silent.push_back(key);
    }
  }
  for (const item_key& key : silent) {
    log_.LogRequest("item_silent",
                    {{"job", key.first.text()},
                     {"item_place", int64_t{key.second}},
                     {"endpoint", attempts_.at(key)->endpoint.text()}});
    ++counters_.silent;
    AbortAttempt(key, endpoint_outcome::kBroken, kRetryDelayAfterBreak);
  }
}

void item_dispatcher::YieldToOnline(steady_time now) {
  std::set<endpoint_id> occupied;
  for (const auto& [key, attempt] : attempts_) {
    occupied.insert(attempt->endpoint);
  }
  for (const endpoint_id& endpoint : occupied) {
    while (YieldSlot(now, endpoint)) {
    }
  }
}

bool item_dispatcher::YieldSlot(steady_time now, const endpoint_id& endpoint) {
  if (endpoints_.FreeSlots(now, endpoint) >= 0) {
    return false;
  }
  const wall_milliseconds wall = clock_.WallNow();
  std::optional<std::pair<item_rank, item_key>> last;
  for (const auto& [key, attempt] : attempts_) {
    if (attempt->endpoint != endpoint) {
      continue;
    }
    const duration time_spent =
        pending_items_.at(key).time_spent + (now - attempt->begun_at);
    std::pair ranked(schedule_.Rank(wall, {attempt->deadline, time_spent}),
                     key);
    if (!last || *last < ranked) {
      last = std::move(ranked);
    }
  }
  if (!last) {
    return false;
  }
  ++counters_.yielded;
  AbortAttempt(last->second, endpoint_outcome::kCancelled,
               kRetryDelayAfterYield);
  return true;
}

void item_dispatcher::OnBody(const item_key& key,
                             item_attempt& attempt,
                             std::string_view bytes) {
  const bool has_events = !attempt.events.last_id().empty();
  const bool is_following = !attempt.events.Feed(bytes).empty();
  if (attempt.events.has_ended_event()) {
    attempt.last_event_at = running_time_.At(clock_.Now());
  }
  if (!has_events && !endpoints_.IsSameStart(attempt.selection.endpoint)) {
    // Its software version is not known.
    AbortAttempt(key, endpoint_outcome::kCancelled, kRetryDelayAfterBreak);
    return;
  }
  if (is_following) {
    pending_item& item_state = pending_items_.at(key);
    item_state.origin = attempt.selection.origin;
    item_state.text += attempt.events.data();
    item_state.last_event = attempt.events.last_id();
    item_state.has_broken = false;
    if (attempt.output.BecomesSustained(attempt.last_event_at)) {
      crash_observer_.OnSustainedOutput(Observed(attempt));
    }
  }
  if (attempt.events.is_out_of_order()) {
    ++counters_.events_out_of_order;
    OnFaultyResponse(key, attempt, "event_out_of_order");
  } else if (attempt.events.is_overlong()) {
    OnFaultyResponse(key, attempt, "event_too_long");
  }
}

void item_dispatcher::OnFaultyResponse(const item_key& key,
                                       const item_attempt& attempt,
                                       std::string_view reason) {
  ++counters_.broken;
  log_.LogRequest("item_try_failed",
                  {{"job", key.first.text()},
                   {"item", attempt.item_id},
                   {"endpoint", attempt.endpoint.text()},
                   {"status", int64_t{attempt.head.status}},
                   {"reason", reason},
                   {"last_event", pending_items_.at(key).last_event}});
  pending_items_.at(key).has_broken = true;
  const steady_time now = clock_.Now();
  if (const auto open = attempts_.find(key); open != attempts_.end()) {
    pending_items_.at(key).time_spent += now - attempt.begun_at;
    attempts_.erase(open);
  }
  endpoints_.Release(now, attempt.endpoint, endpoint_outcome::kBroken);
  ScheduleRetry(key, kRetryDelayAfterFailure);
}

void item_dispatcher::OnHead(const item_key& key,
                             item_attempt& attempt,
                             response_head head) {
  const endpoint_start start{attempt.endpoint, attempt.start_time_ms};
  const limit_read limit =
      RecordLimit(clock_.Now(), start, head.headers, options_.wire.limit,
                  endpoints_.limits());
  counters_.malformed_limits += limit == limit_read::kMalformed ? 1 : 0;
  if (limit == limit_read::kChanged) {
    LogLimit(log_, start, endpoints_.limits());
  }
  const leave_notice notice = ReadLeaveNotice(head.headers, options_.wire);
  attempt.head = std::move(head);
  counters_.malformed_leave_notices +=
      notice == leave_notice::kMalformed ? 1 : 0;
  if (notice == leave_notice::kLeaving &&
      endpoints_.RecordLeaving(clock_.Now(), start,
                               leaving_endpoints::origin::kOwnResponse)) {
    ++counters_.endpoints_leaving;
    log_.LogState("endpoint_says_leaving",
                  {{"endpoint", attempt.endpoint.text()}});
    if (on_endpoint_leaving) {
      on_endpoint_leaving(start);
    }
  }
  // Only a stream may add to a text, or complete it.
  attempt.kind = ClassifyResponse(FactsOf(attempt.head, options_.wire), true);
  if (attempt.kind == response_kind::kUnusable) {
    ++counters_.unusable_heads;
    OnFaultyResponse(key, attempt, "not_the_stream");
  }
}

void item_dispatcher::OnAttemptEnd(const item_key& key, call_end end) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) {
    return;
  }
  const std::shared_ptr<item_attempt> attempt = found->second;
  attempts_.erase(found);
  const steady_time now = clock_.Now();
  pending_items_[key].time_spent += now - attempt->begun_at;
  switch (end) {
    case call_end::kComplete:
      OnResponse(key, *attempt);
      return;
    case call_end::kNotSent:
      endpoints_.Release(now, attempt->endpoint,
                         endpoint_outcome::kUnreachable);
      break;
    case call_end::kRefused:
      endpoints_.Release(now, attempt->endpoint, endpoint_outcome::kEnded);
      break;
    case call_end::kConnectTimeout:
      endpoints_.Release(now, attempt->endpoint, endpoint_outcome::kSilent);
      break;
    case call_end::kBroken:
    case call_end::kInvalidResponse:
      ++counters_.broken;
      pending_items_[key].has_broken = true;
      // An endpoint that announced its end has not crashed.
      if (endpoints_.IsServing(attempt->endpoint)) {
        crash_observer_.OnBroken(Observed(*attempt));
      }
      endpoints_.Release(now, attempt->endpoint, endpoint_outcome::kBroken);
      break;
  }
  ScheduleRetry(key, kRetryDelayAfterBreak);
}

void item_dispatcher::OnResponse(const item_key& key, item_attempt& attempt) {
  const steady_time now = clock_.Now();
  const int status = attempt.head.status;
  if (attempt.kind == response_kind::kNotExecuted) {
    endpoints_.Release(now, attempt.endpoint,
                       status == 421 ? endpoint_outcome::kOtherEndpoint
                                     : endpoint_outcome::kShed);
    ++counters_.refused;
    ScheduleRetry(key, kRetryDelayAfterRefusal);
    return;
  }
  // An endpoint that ends just after a head may look as if nothing were left.
  const bool is_cut_before_events =
      attempt.head.is_close_delimited && !attempt.events.has_first();
  if (attempt.kind == response_kind::kStream &&
      (attempt.events.has_partial() || is_cut_before_events)) {
    OnFaultyResponse(key, attempt, "incomplete");
    return;
  }
  if (attempt.kind == response_kind::kStream &&
      attempt.events.last_id().empty() &&
      !endpoints_.IsSameStart(attempt.selection.endpoint)) {
    OnFaultyResponse(key, attempt, "unknown_version");
    return;
  }
  endpoints_.Release(now, attempt.endpoint, endpoint_outcome::kServed);
  if (attempt.kind == response_kind::kStream) {
    crash_observer_.OnWholeAnswer(Observed(attempt));
    const pending_item& item_state = pending_items_[key];
    ++counters_.finished;
    schedule_.RecordFinished(item_state.time_spent,
                             now - item_state.first_attempt_at);
    const bool is_committing = item_state.committing_bytes > 0;
    job_command command;
    command.result.is_completed = true;
    command.result.text = item_state.text.substr(item_state.committing_bytes);
    command.base_event =
        is_committing ? item_state.committing_event : item_state.base_event;
    command.origin = attempt.selection.origin;
    // Progress that is being committed has the mark already.
    command.is_restart = item_state.is_restart && !is_committing;
    CommitResult(key, std::move(command));
    return;
  }
  const auto* job = table_.Find(key.first);
  if (job == nullptr) {
    return;
  }
  const bool has_failed = status == 500;
  const uint32_t failures = job->items[key.second].failures + 1;
  const bool is_permanent_failure =
      status == 422 || (has_failed && failures >= job->submission.max_failures);
  log_.LogRequest("item_failed",
                  {{"job", key.first.text()},
                   {"item", job->submission.items[key.second].id},
                   {"endpoint", attempt.endpoint.text()},
                   {"status", int64_t{status}},
                   {"failures", int64_t{failures}},
                   {"dead", int64_t{is_permanent_failure ? 1 : 0}}});
  if (is_permanent_failure) {
    CommitResult(key, {});
    return;
  }
  if (has_failed) {
    job_command command;
    command.kind = job_command_kind::kRecordFailure;
    command.job = key.first;
    command.item_index = key.second;
    propose_(command, [](commit_outcome) {});
  }
  ScheduleRetry(key, kRetryDelayAfterFailure);
}

void item_dispatcher::ScheduleRetry(const item_key& key, duration delay) {
  pending_items_[key].retry_at = clock_.Now() + delay;
}

void item_dispatcher::CommitResult(const item_key& key, job_command command) {
  pending_items_[key].is_committing_result = true;
  command.kind = job_command_kind::kRecord;
  command.job = key.first;
  command.item_index = key.second;
  propose_(command, [this, key](commit_outcome outcome) {
    if (outcome == commit_outcome::kUnknown) {
      DiscardAllUncommitted();
      return;
    }
    if (outcome != commit_outcome::kNotProposed) {
      // Also aborts an attempt that began while the result was being committed.
      DiscardUncommitted(key);
      return;
    }
    if (const auto item_state = pending_items_.find(key);
        item_state != pending_items_.end()) {
      // The result was not proposed: a new attempt asks the endpoint for the
      // end of the output again.
      item_state->second.is_committing_result = false;
    }
  });
}

}  // namespace shallotport
