#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "routing/online_request.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr steady_time kStart{duration(1'000'000'000)};

template <typename Value>
struct named_value {
  std::string_view name;
  Value value;
};

constexpr std::array<named_value<attempt_end_kind>, 5> kEnds = {
    {{"complete", attempt_end_kind::kComplete},
     {"truncated", attempt_end_kind::kTruncated},
     {"not_sent", attempt_end_kind::kNotSent},
     {"refused_not_run", attempt_end_kind::kRefusedNotExecuted},
     {"broken", attempt_end_kind::kBroken}}};
constexpr std::array<named_value<claim_decision>, 3> kRulings = {
    {{"granted", claim_decision::kGranted},
     {"recorded", claim_decision::kRecorded},
     {"refused", claim_decision::kRefused}}};
constexpr std::array<named_value<outcome_query_result>, 3> kOutcomes = {
    {{"answered", outcome_query_result::kAnswered},
     {"in_progress", outcome_query_result::kInProgress},
     {"unknown", outcome_query_result::kUnknown}}};

template <typename Value, size_t Count>
Value ValueNamed(const std::array<named_value<Value>, Count>& values,
                 step_arguments& arguments,
                 const char* key) {
  const std::string name = arguments.Text(key);
  for (const named_value<Value>& each : values) {
    if (each.name == name) {
      return each.value;
    }
  }
  arguments.Fail(std::string(key) + ": unknown value \"" + name + "\"");
  return values.front().value;
}

std::string TokenText(int64_t index) {
  return "token" + std::to_string(index) + " ";
}

std::string TextOf(int64_t tokens) {
  std::string text;
  for (int64_t i = 0; i < tokens; ++i) {
    text += TokenText(i);
  }
  return text;
}

// One request at its entry host; the script plays the router, the claims and
// the endpoints. Counts what ran: every started attempt did, unless it ended
// with not_sent or refused_not_run.
class request_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override;

 private:
  using verb = scenario_verb<request_world>;
  static const std::array<verb, 8> kActions;
  static const std::array<verb, 10> kExpectations;

  void Route(step_arguments& arguments);
  void NoRoute(step_arguments& arguments);
  void Claim(step_arguments& arguments);
  void Head(step_arguments& arguments);
  void Tokens(step_arguments& arguments);
  void End(step_arguments& arguments);
  void Outcome(step_arguments& arguments);
  void CallerGone(step_arguments& arguments);

  void ExpectAttempts(step_arguments& arguments);
  void ExpectRuns(step_arguments& arguments);
  void ExpectResume(step_arguments& arguments);
  void ExpectDelivered(step_arguments& arguments);
  void ExpectWhole(step_arguments& arguments);
  void ExpectError(step_arguments& arguments);
  void ExpectUnanswered(step_arguments& arguments);
  void ExpectClaim(step_arguments& arguments);
  void ExpectCancelled(step_arguments& arguments);
  void ExpectOutcomeAsked(step_arguments& arguments);

  attempt_number Attempt(step_arguments& arguments);
  void Handle(online_event event);
  void Perform(const std::vector<online_action>& actions);

  void On(const request_route& /*action*/) { ++routes_asked_; }
  void On(const begin_claim& /*action*/) { claim_ = "asked"; }
  void On(const finish_claim& /*action*/) { claim_ = "finished"; }
  void On(const release_claim& /*action*/) { claim_ = "released"; }
  void On(const abandon_claim& /*action*/) { claim_ = "abandoned"; }
  void On(const start_attempt& action) { attempts_[action.attempt] = {action}; }
  void On(const cancel_attempt& action) {
    attempts_[action.attempt].is_cancelled = true;
  }
  void On(const query_outcome& /*action*/) { ++outcomes_asked_; }
  void On(const report_started& /*action*/) {}
  void On(const report_first_byte& /*action*/) {}
  void On(const report_finished& /*action*/) {}
  void On(const send_head& /*action*/) {}
  void On(const send_bytes& action) { delivered_ += action.bytes; }
  void On(const send_end& /*action*/) { ++ends_; }
  void On(const respond_recorded& action) {
    delivered_ += action.response.body;
    ++ends_;
  }
  void On(const respond_error& action) {
    failure_ = action.failure;
    ++errors_;
  }
  void On(const request_done& /*action*/) {}

  struct attempt_state {
    start_attempt start;
    bool is_cancelled = false;
    bool is_proven_not_run = false;
  };

  steady_time now_ = kStart;
  std::unique_ptr<online_request> request_;
  std::map<attempt_number, attempt_state> attempts_;
  std::string claim_ = "none";
  std::string delivered_;
  std::optional<error> failure_;
  int64_t tokens_ = 0;
  int64_t routes_asked_ = 0;
  int64_t routes_answered_ = 0;
  int64_t outcomes_asked_ = 0;
  int64_t ends_ = 0;
  int64_t errors_ = 0;
};

const std::array<request_world::verb, 8> request_world::kActions = {
    {{"route", &request_world::Route},
     {"no_route", &request_world::NoRoute},
     {"claim", &request_world::Claim},
     {"head", &request_world::Head},
     {"tokens", &request_world::Tokens},
     {"end", &request_world::End},
     {"outcome", &request_world::Outcome},
     {"caller_gone", &request_world::CallerGone}}};

const std::array<request_world::verb, 10> request_world::kExpectations = {
    {{"attempts", &request_world::ExpectAttempts},
     {"runs", &request_world::ExpectRuns},
     {"resume", &request_world::ExpectResume},
     {"delivered", &request_world::ExpectDelivered},
     {"whole", &request_world::ExpectWhole},
     {"error", &request_world::ExpectError},
     {"unanswered", &request_world::ExpectUnanswered},
     {"claim", &request_world::ExpectClaim},
     {"cancelled", &request_world::ExpectCancelled},
     {"outcome_asked", &request_world::ExpectOutcomeAsked}}};

void request_world::Begin(step_arguments& given) {
  online_request_options options;
  options.id = request_id("request-1");
  options.is_idempotent = given.Flag("idempotent", true);
  options.has_key = given.Flag("key", false);
  options.is_stream = given.Flag("stream", false);
  options.deadline = kStart + given.Time("deadline", duration(10'000'000));
  options.first_byte_timeout =
      given.Time("first_byte_timeout", duration(2'000'000));
  options.token_gap_timeout =
      given.Time("token_gap_timeout", duration(1'000'000));
  options.hedge_after = given.Time("hedge_after", duration(0));
  options.max_attempts = static_cast<uint32_t>(given.Number("max_attempts", 3));
  tokens_ = given.Number("tokens", 4);
  request_ = std::make_unique<online_request>(options);
  Perform(request_->Start(now_));
}

bool request_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool request_world::Expect(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

void request_world::Advance(duration time) {
  const steady_time end = now_ + time;
  while (request_->next_timer() <= end) {
    now_ = std::max(now_, request_->next_timer());
    const steady_time before = request_->next_timer();
    Handle(timer_expired{});
    if (request_->next_timer() == before) {
      break;
    }
  }
  now_ = end;
}

void request_world::Handle(online_event event) {
  Perform(request_->Handle(now_, std::move(event)));
}

void request_world::Perform(const std::vector<online_action>& actions) {
  for (const online_action& action : actions) {
    std::visit([this](const auto& typed) { On(typed); }, action);
  }
}

attempt_number request_world::Attempt(step_arguments& arguments) {
  const auto number = static_cast<attempt_number>(arguments.Number("attempt"));
  if (!attempts_.contains(number)) {
    arguments.Fail("attempt " + std::to_string(number) + " was not started");
    attempts_[number];
  }
  return number;
}

void request_world::Route(step_arguments& arguments) {
  if (routes_answered_ >= routes_asked_) {
    arguments.Fail("no route was asked for");
  }
  route_choice route;
  route.endpoint = endpoint_id(arguments.Text("endpoint"));
  route.address = "127.0.0.1:9000";
  route.started = 1;
  route.ticket = static_cast<attempt_ticket>(++routes_answered_);
  route.can_resume = arguments.Flag("can_resume", false);
  route.remembers_outcomes = arguments.Flag("remembers_outcomes", false);
  Handle(route_decided{route});
}

void request_world::NoRoute(step_arguments& arguments) {
  const auto kind = KindOfCode(arguments.Text("error"));
  if (!kind) {
    arguments.Fail("error: unknown code");
  }
  ++routes_answered_;
  Handle(route_decided{MakeError(kind.value_or(error_kind::kInternal), "")});
}

void request_world::Claim(step_arguments& arguments) {
  arguments.CheckText("claim", claim_, "asked");
  claim_decided decided;
  decided.decision = ValueNamed(kRulings, arguments, "is");
  decided.recorded = {200, "text/plain", TextOf(tokens_)};
  const auto kind = KindOfCode(arguments.Text("error", "in_progress"));
  decided.reason = MakeError(kind.value_or(error_kind::kInternal), "");
  claim_ = decided.decision == claim_decision::kGranted ? "held" : "none";
  Handle(decided);
}

void request_world::Head(step_arguments& arguments) {
  const attempt_number number = Attempt(arguments);
  const std::string own = attempts_[number].start.id.text();
  const bool is_own = arguments.Text("id", "own") == "own";
  Handle(attempt_head{number, is_own ? own : "other-request.1",
                      static_cast<int>(arguments.Number("status", 200)),
                      "text/plain"});
}

void request_world::Tokens(step_arguments& arguments) {
  const attempt_number number = Attempt(arguments);
  const int64_t from = arguments.Number("from");
  const int64_t count = arguments.Number("count");
  for (int64_t i = from; i < from + count; ++i) {
    Handle(attempt_chunk{number, TokenText(i), static_cast<uint64_t>(i)});
  }
}

void request_world::End(step_arguments& arguments) {
  const attempt_number number = Attempt(arguments);
  const attempt_end_kind end = ValueNamed(kEnds, arguments, "how");
  attempts_[number].is_proven_not_run =
      end == attempt_end_kind::kNotSent ||
      end == attempt_end_kind::kRefusedNotExecuted;
  Handle(attempt_ended{number, end, duration(0)});
}

void request_world::Outcome(step_arguments& arguments) {
  if (outcomes_asked_ == 0) {
    arguments.Fail("no outcome was asked for");
  }
  Handle(outcome_received{ValueNamed(kOutcomes, arguments, "is"),
                          {200, "text/plain", TextOf(tokens_)}});
}

void request_world::CallerGone(step_arguments& /*arguments*/) {
  Handle(caller_disconnected{});
}

void request_world::ExpectAttempts(step_arguments& arguments) {
  arguments.Check("attempts", static_cast<int64_t>(attempts_.size()),
                  arguments.Number("count"));
}

void request_world::ExpectRuns(step_arguments& arguments) {
  const auto runs = std::count_if(
      attempts_.begin(), attempts_.end(),
      [](const auto& each) { return !each.second.is_proven_not_run; });
  arguments.Check("runs", runs, arguments.Number("count"));
}

void request_world::ExpectResume(step_arguments& arguments) {
  const attempt_number number = Attempt(arguments);
  arguments.Check("tokens to skip",
                  static_cast<int64_t>(attempts_[number].start.resume_after),
                  arguments.Number("after"));
}

void request_world::ExpectDelivered(step_arguments& arguments) {
  arguments.CheckText("delivered text", delivered_,
                      TextOf(arguments.Number("tokens")));
}

void request_world::ExpectWhole(step_arguments& arguments) {
  arguments.Check("whole answers", ends_, 1);
  arguments.Check("errors", errors_, 0);
  arguments.CheckText("answer", delivered_, TextOf(tokens_));
}

void request_world::ExpectError(step_arguments& arguments) {
  arguments.Check("errors", errors_, 1);
  arguments.Check("whole answers", ends_, 0);
  if (!failure_) {
    return;
  }
  const error_answer& row = Answer(failure_->kind);
  if (arguments.Has("code")) {
    arguments.CheckText("code", row.code, arguments.Text("code"));
  }
  if (arguments.Has("run")) {
    arguments.CheckText("run", NameOf(row.run), arguments.Text("run"));
  }
}

void request_world::ExpectUnanswered(step_arguments& arguments) {
  arguments.Check("answers", ends_ + errors_, 0);
}

void request_world::ExpectClaim(step_arguments& arguments) {
  arguments.CheckText("claim", claim_, arguments.Text("is"));
}

void request_world::ExpectCancelled(step_arguments& arguments) {
  const attempt_number number = Attempt(arguments);
  arguments.Check("cancelled", attempts_[number].is_cancelled ? 1 : 0,
                  arguments.Flag("is", true) ? 1 : 0);
}

void request_world::ExpectOutcomeAsked(step_arguments& arguments) {
  arguments.Check("questions for the outcome", outcomes_asked_,
                  arguments.Number("count"));
}

}  // namespace

std::unique_ptr<scenario_world> MakeRequestWorld() {
  return std::make_unique<request_world>();
}

}  // namespace shallotport
