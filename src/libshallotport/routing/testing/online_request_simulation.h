#ifndef SHALLOTPORT_ROUTING_TESTING_ONLINE_REQUEST_SIMULATION_H_
#define SHALLOTPORT_ROUTING_TESTING_ONLINE_REQUEST_SIMULATION_H_

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "routing/online_request.h"

namespace shallotport {

// Number of occurrences of each event by name, over many simulations.
struct simulation_counts {
  std::map<std::string, int> by_name;
};

// One online_request with simulated endpoints, claim and router, in virtual
// time. The endpoints respond, refuse, break the connection, become silent for
// a time or for good, repeat or skip events, or send the response to another
// request; events of cancelled attempts still arrive. An execution counts from
// the start of its attempt, even if the attempt is cancelled. CheckFinalState()
// compares the response with what was executed.
class online_request_simulation {
 public:
  online_request_simulation(uint64_t seed, simulation_counts& counts)
      : random_(seed), counts_(counts.by_name), request_(MakeOptions()) {}

  void Run() {
    if (OneIn(8)) {
      Schedule(UniformBelow(random_, 3'000), caller_disconnected{});
    }
    Perform(request_.Start(now_));
    while (!HasTooManySteps() && !(events_.empty() && request_.is_done())) {
      Step();
    }
    CheckFinalState();
  }

 private:
  static constexpr steady_time kStart{std::chrono::seconds(1'000)};

  bool OneIn(uint64_t one_in) { return UniformBelow(random_, one_in) == 0; }
  bool HasTooManySteps() const { return steps_ > 5'000; }

  online_request_options MakeOptions() {
    options_.id = request_id("r" + std::to_string(random_() % 1'000));
    options_.is_idempotent = !OneIn(2);
    options_.has_key = !OneIn(3);
    options_.is_stream = !OneIn(3);
    options_.deadline =
        kStart +
        duration(40'000 + random_() % (OneIn(3) ? 300'000 : 4'000'000));
    options_.first_byte_timeout = duration(OneIn(2) ? 300'000 : 900'000);
    options_.token_gap_timeout = duration(200'000);
    options_.hedge_after = duration(OneIn(2) ? 100'000 : 0);
    options_.max_attempts = 1 + static_cast<uint32_t>(random_() % 5);
    numbers_events_ = !OneIn(3);
    is_handler_slow_ = OneIn(4);
    fault_rate_ = 1 + UniformBelow(random_, 4);
    for (size_t i = 0; i < 1 + random_() % 8; ++i) {
      tokens_.push_back(options_.id.text() + ":" + std::to_string(random_()));
      text_ += tokens_.back();
    }
    return options_;
  }

  void Schedule(uint64_t delay_ms, online_event event) {
    events_.emplace(now_ + std::chrono::milliseconds(delay_ms),
                    std::move(event));
  }

  void Step() {
    ++steps_;
    const steady_time timer = request_.next_timer();
    const bool is_event_next =
        !events_.empty() &&
        (is_handler_slow_ || events_.begin()->first <= timer);
    if (!is_event_next && timer == steady_time::max()) {
      ADD_FAILURE()
          << "the request is not done but has no timer and no pending event";
      steps_ = 1'000'000;
      return;
    }
    if (!is_event_next) {
      now_ = std::max(now_, timer);
      is_timer_ = true;
      Perform(request_.Handle(now_, timer_expired{}));
      is_timer_ = false;
    } else {
      now_ = std::max(now_, events_.begin()->first);
      const online_event event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      HandleEvent(event);
    }
    const bool is_in_progress = !live_attempts_.empty() ||
                                pending_replies_ > 0 ||
                                request_.next_timer() < options_.deadline;
    EXPECT_TRUE(is_in_progress || has_final_response_ ||
                is_caller_disconnected_)
        << "failed, but not responded to before its deadline";
  }

  // Applies the event to the simulated state and passes it to the request.
  void HandleEvent(const online_event& event) {
    if (std::holds_alternative<caller_disconnected>(event)) {
      is_caller_disconnected_ = true;
    }
    const bool answers_action = std::holds_alternative<route_decided>(event) ||
                                std::holds_alternative<claim_decided>(event) ||
                                std::holds_alternative<outcome_received>(event);
    pending_replies_ -= answers_action ? 1 : 0;
    if (const auto* claim = std::get_if<claim_decided>(&event)) {
      is_claim_held_ = claim->decision == claim_decision::kGranted;
    }
    if (const auto* route = std::get_if<route_decided>(&event)) {
      if (IsOk(route->choice)) {
        open_tickets_.insert(ValueOf(route->choice).ticket);
      }
    }
    if (const auto* chunk = std::get_if<attempt_chunk>(&event)) {
      const bool is_kept = options_.hedge_after.count() == 0 &&
                           chunk->attempt < last_attempt_ &&
                           live_attempts_.contains(chunk->attempt);
      counts_["kept_attempt_went_on"] += is_kept ? 1 : 0;
      last_progress_at_ = now_;
      current_timeout_ = options_.token_gap_timeout;
    }
    if (const auto* end = std::get_if<attempt_ended>(&event)) {
      live_attempts_.erase(end->attempt);
    }
    Perform(request_.Handle(now_, event));
  }

  void Perform(const std::vector<online_action>& actions) {
    for (const online_action& action : actions) {
      std::visit([this](const auto& value) { Do(value); }, action);
    }
  }

  void Do(const request_route& action) {
    ++pending_replies_;
    ++counts_[action.is_hedge ? "hedge" : action.is_retry ? "retry" : "route"];
    if (OneIn(12)) {
      Schedule(1, route_decided{error{error_kind::kNoCapacity, "", {}}});
      return;
    }
    route_choice route;
    route.endpoint = endpoint_id("e" + std::to_string(action.excluded.size()));
    route.ticket = ++last_ticket_;
    route.can_resume = numbers_events_ && OneIn(2);
    route.remembers_outcomes = OneIn(2);
    route.expected_time = duration(UniformBelow(random_, 120'000));
    Schedule(UniformBelow(random_, 5), route_decided{route});
  }

  void Do(const begin_claim& /*action*/) {
    ++pending_replies_;
    EXPECT_FALSE(is_claim_held_);
    claim_decided reply;
    const uint64_t roll = UniformBelow(random_, 10);
    if (roll == 0) {
      reply.decision = claim_decision::kRecorded;
      reply.recorded = {200, "", text_};
    } else if (roll == 1) {
      reply.decision = claim_decision::kRefused;
      reply.reason.kind =
          OneIn(2) ? error_kind::kNoQuorum : error_kind::kInProgress;
    }
    Schedule(OneIn(10) ? 6'000 : UniformBelow(random_, 20), reply);
  }

  void Do(const finish_claim& action) {
    EXPECT_TRUE(is_claim_held_);
    EXPECT_EQ(action.response.body, text_);
    is_claim_held_ = false;
    ++counts_["claim_finished"];
  }
  void Do(const release_claim& /*action*/) {
    is_claim_held_ = false;
    EXPECT_EQ(executions_, 0) << "a claim was released after an execution";
    ++counts_["claim_released"];
  }
  void Do(const abandon_claim& /*action*/) {
    EXPECT_TRUE(is_claim_held_);
    is_claim_held_ = false;
    ++counts_["claim_abandoned"];
  }

  void Do(const start_attempt& start);

  void Do(const cancel_attempt& action) {
    live_attempts_.erase(action.attempt);
    if (is_timer_ && options_.is_idempotent && now_ < options_.deadline) {
      EXPECT_FALSE(live_attempts_.empty()) << "cancelled the only attempt";
    }
  }
  void Do(const query_outcome& action) {
    ++pending_replies_;
    ++counts_[action.closes_key ? "outcome_queried" : "outcome_queried_early"];
    outcome_received reply;
    const uint64_t roll = UniformBelow(random_, 4);
    if (roll == 0) {
      reply.outcome = outcome_query_result::kInProgress;
    } else if (executions_ == 0 && action.closes_key) {
      reply.outcome = outcome_query_result::kNotExecuted;
      ++counts_["outcome_not_run"];
    } else if (executions_ > 0 && roll != 1) {
      reply.outcome = outcome_query_result::kAnswered;
      reply.response = {200, "", text_};
    }
    Schedule(OneIn(4) ? 700 : UniformBelow(random_, 30), reply);
  }
  void Do(const report_started& /*action*/) {}
  void Do(const report_first_byte& action) {
    EXPECT_TRUE(open_tickets_.contains(action.ticket));
  }
  void Do(const report_finished& action) {
    EXPECT_EQ(open_tickets_.erase(action.ticket), 1u);
  }

  void Do(const send_head& /*action*/) {
    EXPECT_FALSE(is_head_sent_);
    is_head_sent_ = true;
  }
  void Do(const send_bytes& action) {
    EXPECT_TRUE(is_head_sent_);
    received_ += action.bytes;
    EXPECT_EQ(text_.substr(0, received_.size()), received_);
  }
  void Do(const send_end& /*action*/) {
    EXPECT_EQ(received_, text_);
    RecordFinalResponse("whole");
  }
  void Do(const respond_recorded& action) {
    EXPECT_FALSE(is_head_sent_);
    EXPECT_EQ(action.response.body, text_);
    RecordFinalResponse("recorded");
  }
  void Do(const respond_error& action) {
    EXPECT_EQ(action.is_after_head, is_head_sent_);
    if (action.failure.kind == error_kind::kOutcomeUnknown) {
      EXPECT_TRUE(live_attempts_.empty() ||
                  now_ >= last_progress_at_ + current_timeout_)
          << "failed while an attempt was within its timeout";
    }
    if (options_.is_idempotent) {
      EXPECT_TRUE(live_attempts_.empty() || now_ >= options_.deadline)
          << "failed while an attempt was in flight";
    }
    const error_answer& response = Answer(action.failure.kind);
    is_not_executed_promised_ = response.run == run_outcome::kNotRun;
    if (response.retry != retry_advice::kNever) {
      EXPECT_GT(action.failure.retry_after.count(), 0);
    }
    RecordFinalResponse(std::string(response.code));
  }
  void Do(const request_done& /*action*/) { ++request_done_count_; }

  void RecordFinalResponse(const std::string& response_kind) {
    EXPECT_FALSE(has_final_response_) << "a second final response";
    EXPECT_FALSE(is_caller_disconnected_);
    has_final_response_ = true;
    ++counts_[response_kind];
  }

  void CheckFinalState() {
    EXPECT_TRUE(has_final_response_ != is_caller_disconnected_ ||
                has_final_response_);
    EXPECT_EQ(request_done_count_, 1);
    EXPECT_TRUE(open_tickets_.empty());
    EXPECT_TRUE(live_attempts_.empty());
    EXPECT_FALSE(is_claim_held_) << "the claim was not settled";
    if (is_not_executed_promised_) {
      EXPECT_EQ(executions_, 0)
          << "refused as not executed, but it was executed";
    }
    if (!options_.is_idempotent) {
      EXPECT_LE(executions_, 1);
      EXPECT_TRUE(options_.has_key || attempts_started_ <= 1);
    }
  }

  random_source random_;
  std::map<std::string, int>& counts_;
  online_request_options options_;
  bool numbers_events_ = true;
  bool is_handler_slow_ = false;  // Delivers pending events before due timers.
  uint64_t fault_rate_ = 1;
  std::vector<std::string> tokens_;
  std::string text_;
  online_request request_;

  steady_time now_ = kStart;
  std::multimap<steady_time, online_event> events_;
  std::set<attempt_number> live_attempts_;
  std::set<attempt_ticket> open_tickets_;
  attempt_ticket last_ticket_ = 0;
  int pending_replies_ = 0;
  int attempts_started_ = 0;
  attempt_number last_attempt_ = 0;
  steady_time last_progress_at_;  // Of the last attempt.
  duration current_timeout_{0};
  int executions_ = 0;
  int request_done_count_ = 0;
  int steps_ = 0;
  bool is_claim_held_ = false;
  bool is_caller_disconnected_ = false;
  bool has_final_response_ = false;
  bool is_head_sent_ = false;
  bool is_timer_ = false;  // The timer is handled, not an event.
  bool is_not_executed_promised_ = false;
  std::string received_;
};

inline void online_request_simulation::Do(const start_attempt& start) {
  EXPECT_TRUE(options_.is_idempotent || !options_.has_key || is_claim_held_);
  EXPECT_LT(now_, options_.deadline);
  live_attempts_.insert(start.attempt);
  EXPECT_LE(live_attempts_.size(), 2u);
  last_attempt_ = start.attempt;
  ++attempts_started_;
  last_progress_at_ = now_;
  current_timeout_ = options_.first_byte_timeout;
  ++counts_[start.resume_after > 0 ? "resumed" : "attempt"];
  if (start.resume_after == 0 && is_head_sent_) {
    ++counts_["restarted"];
  }
  const uint64_t fault = OneIn(fault_rate_) ? UniformBelow(random_, 12) : 99;
  uint64_t at_ms = 1 + UniformBelow(random_, 20);
  if (fault == 0 || fault == 1) {
    const auto end = fault == 0 ? attempt_end_kind::kNotSent
                                : attempt_end_kind::kRefusedNotExecuted;
    at_ms += OneIn(3) ? 300 + UniformBelow(random_, 900) : 0;
    Schedule(at_ms, attempt_ended{start.attempt, end, duration{0}});
    return;
  }
  if (fault == 2 && OneIn(2)) {
    return;  // The connection is silent; nothing arrives.
  }
  ++executions_;
  if (fault == 2) {
    return;  // The connection is silent after the request arrived.
  }
  if (fault == 3) {
    Schedule(at_ms,
             attempt_ended{start.attempt, attempt_end_kind::kBroken, {}});
    return;
  }
  at_ms += fault == 4 ? 250 : 0;  // Later than a hedge.
  const bool is_crossed = fault == 5;
  Schedule(at_ms,
           attempt_head{start.attempt, is_crossed ? "other.1" : start.id.text(),
                        fault == 6 && options_.is_idempotent ? 500 : 200,
                        "text/plain"});
  const uint64_t faulty_index = UniformBelow(random_, tokens_.size());
  for (uint64_t i = start.resume_after; i < tokens_.size(); ++i) {
    at_ms += UniformBelow(random_, 30);
    attempt_chunk chunk{start.attempt, tokens_[i], std::nullopt};
    if (numbers_events_) {
      chunk.position = i;
    }
    if (is_crossed) {
      chunk.bytes = "another caller's answer";
    }
    if (!numbers_events_ && OneIn(3) && i + 1 < tokens_.size()) {
      chunk.bytes += tokens_[++i];
    }
    const bool is_faulty_event = i == faulty_index;
    if (fault == 11 && is_faulty_event) {  // Silent for a time.
      at_ms += 200 + UniformBelow(random_, 1'000);
    }
    if (fault == 7 && is_faulty_event) {  // Silent in mid-stream.
      return;
    }
    if (fault == 8 && is_faulty_event) {
      Schedule(at_ms, attempt_ended{start.attempt, attempt_end_kind::kTruncated,
                                    duration{0}});
      return;
    }
    if (fault == 9 && is_faulty_event && numbers_events_) {
      continue;  // One event is missing.
    }
    if (fault == 10 && is_faulty_event && numbers_events_) {
      Schedule(at_ms, chunk);  // One event is repeated.
    }
    Schedule(at_ms, chunk);
  }
  const bool is_last_missing =
      fault == 9 && numbers_events_ && faulty_index + 1 == tokens_.size();
  Schedule(at_ms, attempt_ended{start.attempt,
                                is_last_missing ? attempt_end_kind::kTruncated
                                                : attempt_end_kind::kComplete,
                                duration{0}});
}

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_TESTING_ONLINE_REQUEST_SIMULATION_H_
