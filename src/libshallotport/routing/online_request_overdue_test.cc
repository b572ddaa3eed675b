#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/online_request.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr steady_time kStart{std::chrono::seconds(1'000)};
constexpr steady_time kDeadline = kStart + std::chrono::seconds(30);
constexpr uint64_t kTokens = 4;
constexpr uint64_t kTokensBeforeGap = 2;

enum class silence : uint8_t {
  kBeforeFirstByte,    // Of a stream.
  kWithinStream,       // After kTokensBeforeGap tokens.
  kBeforeWholeAnswer,  // Of a response that is not streamed.
};

// What the second endpoint does while the first one is silent.
enum class other_endpoint : uint8_t {
  kNoRoute,
  kNotAllowed,  // max_attempts is used up.
  kRefuses,
  kBreaks,
  kServerError,
  kSilent,
  kBreaksWhileRepeating,  // Before it reaches what the caller has.
  kDiffers,               // From what the caller has.
  kEndsTooEarly,
  kIsOvertaken,  // The first one goes on while it repeats.
  kTakesOver,
  kResumes,
};

struct overdue_case {
  const char* name;
  silence when;
  other_endpoint other;
};

void PrintTo(const overdue_case& row, std::ostream* out) {
  *out << row.name;
}

std::string TokenText(uint64_t index) {
  return "token" + std::to_string(index) + " ";
}

std::string TextOf(uint64_t tokens) {
  std::string text;
  for (uint64_t i = 0; i < tokens; ++i) {
    text += TokenText(i);
  }
  return text;
}

online_request_options MakeOptions(bool is_stream, uint32_t max_attempts) {
  online_request_options options;
  options.id = request_id("r");
  options.is_stream = is_stream;
  options.deadline = kDeadline;
  options.max_attempts = max_attempts;
  return options;
}

// Plays router and endpoints of one request. Attempt N is sent to endpoint eN.
class overdue_player {
 public:
  explicit overdue_player(const online_request_options& options)
      : request_(options) {
    Perform(request_.Start(now_));
  }

  void Handle(const online_event& event) {
    now_ += milliseconds(1);
    Perform(request_.Handle(now_, event));
  }
  void PassTimer() {
    now_ = std::max(now_, request_.next_timer());
    Perform(request_.Handle(now_, timer_expired{}));
  }
  void PassTimeUntil(steady_time end) {
    while (request_.next_timer() < end) {
      PassTimer();
      RefuseRoute();
    }
    now_ = end;
  }

  void Route(bool can_resume) {
    ASSERT_TRUE(is_route_pending_);
    is_route_pending_ = false;
    route_choice route;
    route.ticket = ++tickets_;
    route.endpoint = endpoint_id("e" + std::to_string(route.ticket));
    route.can_resume = can_resume;
    Handle(route_decided{route});
  }
  void RefuseRoute() {
    if (std::exchange(is_route_pending_, false)) {
      Handle(route_decided{MakeError(error_kind::kNoCapacity, "")});
    }
  }
  void Head(attempt_number attempt, int status = 200) {
    Handle(attempt_head{attempt, "r." + std::to_string(attempt), status, ""});
  }
  void Tokens(attempt_number attempt, uint64_t from, uint64_t end) {
    for (uint64_t i = from; i < end; ++i) {
      Handle(attempt_chunk{attempt, TokenText(i), i});
    }
  }
  void End(attempt_number attempt, attempt_end_kind how) {
    Handle(attempt_ended{attempt, how, {}});
  }

  bool IsLive(attempt_number attempt) const { return live_.contains(attempt); }
  bool is_route_pending() const { return is_route_pending_; }
  bool is_done() const { return request_.is_done(); }
  steady_time now() const { return now_; }
  const std::string& received() const { return received_; }
  int ends() const { return ends_; }
  const std::vector<error_kind>& errors() const { return errors_; }
  // Outcomes reported for the attempts, by their number.
  attempt_outcome OutcomeOf(attempt_number attempt) const {
    return outcomes_.at(attempt);
  }

 private:
  void Perform(const std::vector<online_action>& actions) {
    for (const online_action& action : actions) {
      std::visit([this](const auto& value) { Do(value); }, action);
    }
  }
  template <typename Action>
  void Do(const Action& /*action*/) {}
  void Do(const request_route& /*action*/) { is_route_pending_ = true; }
  void Do(const start_attempt& action) {
    live_.insert(action.attempt);
    EXPECT_LE(live_.size(), 2u);
  }
  void Do(const cancel_attempt& action) { live_.erase(action.attempt); }
  void Do(const report_finished& action) {
    outcomes_[action.ticket] = action.outcome;
  }
  void Do(const send_bytes& action) { received_ += action.bytes; }
  void Do(const send_end& /*action*/) { ++ends_; }
  void Do(const respond_error& action) {
    errors_.push_back(action.failure.kind);
  }

  online_request request_;
  steady_time now_ = kStart;
  bool is_route_pending_ = false;
  attempt_ticket tickets_ = 0;
  std::set<attempt_number> live_;
  std::map<attempt_ticket, attempt_outcome> outcomes_;
  std::string received_;
  int ends_ = 0;
  std::vector<error_kind> errors_;
};

class overdue_attempt : public testing::TestWithParam<overdue_case> {
 protected:
  overdue_attempt()
      : player_(MakeOptions(
            GetParam().when != silence::kBeforeWholeAnswer,
            GetParam().other == other_endpoint::kNotAllowed ? 1 : 2)) {}

  uint64_t TokensBefore() const {
    return GetParam().when == silence::kWithinStream ? kTokensBeforeGap : 0;
  }
  bool TakesOver() const {
    return GetParam().other == other_endpoint::kTakesOver ||
           GetParam().other == other_endpoint::kResumes;
  }

  void PlayOther() {
    switch (GetParam().other) {
      case other_endpoint::kNotAllowed:
        EXPECT_FALSE(player_.is_route_pending());
        return;
      case other_endpoint::kNoRoute:
        ASSERT_TRUE(player_.is_route_pending());
        player_.RefuseRoute();
        return;
      case other_endpoint::kResumes:
        player_.Route(true);
        PlayTakeOver(TokensBefore());
        return;
      default:
        player_.Route(false);
        PlayRestart();
    }
  }

  void PlayRestart() {
    switch (GetParam().other) {
      case other_endpoint::kRefuses:
        player_.End(2, attempt_end_kind::kRefusedNotExecuted);
        return;
      case other_endpoint::kBreaks:
        player_.End(2, attempt_end_kind::kBroken);
        return;
      case other_endpoint::kServerError:
        player_.Head(2, 500);
        return;
      case other_endpoint::kSilent:
        player_.PassTimer();
        return;
      case other_endpoint::kBreaksWhileRepeating:
        player_.Head(2);
        player_.Tokens(2, 0, 1);
        EXPECT_TRUE(player_.IsLive(1));
        player_.End(2, attempt_end_kind::kTruncated);
        return;
      case other_endpoint::kDiffers:
        player_.Head(2);
        player_.Handle(attempt_chunk{2, "other text", 0});
        return;
      case other_endpoint::kEndsTooEarly:
        player_.Head(2);
        player_.Tokens(2, 0, 1);
        player_.End(2, attempt_end_kind::kComplete);
        return;
      case other_endpoint::kIsOvertaken:
        player_.Head(2);
        player_.Tokens(2, 0, 1);
        return;
      default:
        PlayTakeOver(0);
    }
  }

  void PlayTakeOver(uint64_t from) {
    player_.Head(2);
    player_.Tokens(2, from, TokensBefore());
    EXPECT_TRUE(player_.IsLive(1)) << "ended before the other one had output";
    player_.Tokens(2, TokensBefore(), TokensBefore() + 1);
    EXPECT_FALSE(player_.IsLive(1));
  }

  // The first endpoint goes on, if it still may; else the second one.
  void PlayRest() {
    const attempt_number rest = TakesOver() ? 2 : 1;
    EXPECT_TRUE(player_.IsLive(rest));
    if (GetParam().when != silence::kWithinStream) {
      player_.Head(1);
    }
    player_.Tokens(1, TokensBefore(), kTokens);
    if (rest == 2) {
      player_.Tokens(2, TokensBefore() + 1, kTokens);
    }
    EXPECT_FALSE(player_.IsLive(3 - rest));
    player_.End(rest, attempt_end_kind::kComplete);
  }

  overdue_player player_;
};

TEST_P(overdue_attempt, IsKeptUntilAnotherOneHasOutput) {
  player_.Route(true);
  if (GetParam().when == silence::kWithinStream) {
    player_.Head(1);
    player_.Tokens(1, 0, kTokensBeforeGap);
  }
  player_.PassTimer();
  EXPECT_TRUE(player_.IsLive(1)) << "ended before another one was started";
  PlayOther();
  PlayRest();
  EXPECT_EQ(player_.received(), TextOf(kTokens));
  EXPECT_EQ(player_.ends(), 1);
  EXPECT_TRUE(player_.errors().empty());
  EXPECT_TRUE(player_.is_done());
  // What the router learns: silence counts, unless the endpoint went on.
  EXPECT_EQ(player_.OutcomeOf(1),
            TakesOver() ? attempt_outcome::kTimedOut : attempt_outcome::kOk);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    overdue_attempt,
    testing::Values(
        overdue_case{"first_byte_no_route", silence::kBeforeFirstByte,
                     other_endpoint::kNoRoute},
        overdue_case{"first_byte_attempts_used_up", silence::kBeforeFirstByte,
                     other_endpoint::kNotAllowed},
        overdue_case{"first_byte_other_refuses", silence::kBeforeFirstByte,
                     other_endpoint::kRefuses},
        overdue_case{"first_byte_other_breaks", silence::kBeforeFirstByte,
                     other_endpoint::kBreaks},
        overdue_case{"first_byte_other_fails", silence::kBeforeFirstByte,
                     other_endpoint::kServerError},
        overdue_case{"first_byte_other_silent", silence::kBeforeFirstByte,
                     other_endpoint::kSilent},
        overdue_case{"first_byte_other_takes_over", silence::kBeforeFirstByte,
                     other_endpoint::kTakesOver},
        overdue_case{"gap_no_route", silence::kWithinStream,
                     other_endpoint::kNoRoute},
        overdue_case{"gap_attempts_used_up", silence::kWithinStream,
                     other_endpoint::kNotAllowed},
        overdue_case{"gap_other_refuses", silence::kWithinStream,
                     other_endpoint::kRefuses},
        overdue_case{"gap_other_breaks", silence::kWithinStream,
                     other_endpoint::kBreaks},
        overdue_case{"gap_other_fails", silence::kWithinStream,
                     other_endpoint::kServerError},
        overdue_case{"gap_other_silent", silence::kWithinStream,
                     other_endpoint::kSilent},
        overdue_case{"gap_other_breaks_while_repeating", silence::kWithinStream,
                     other_endpoint::kBreaksWhileRepeating},
        overdue_case{"gap_other_differs", silence::kWithinStream,
                     other_endpoint::kDiffers},
        overdue_case{"gap_other_ends_too_early", silence::kWithinStream,
                     other_endpoint::kEndsTooEarly},
        overdue_case{"gap_other_is_overtaken", silence::kWithinStream,
                     other_endpoint::kIsOvertaken},
        overdue_case{"gap_other_takes_over", silence::kWithinStream,
                     other_endpoint::kTakesOver},
        overdue_case{"gap_other_resumes", silence::kWithinStream,
                     other_endpoint::kResumes},
        overdue_case{"whole_no_route", silence::kBeforeWholeAnswer,
                     other_endpoint::kNoRoute},
        overdue_case{"whole_attempts_used_up", silence::kBeforeWholeAnswer,
                     other_endpoint::kNotAllowed},
        overdue_case{"whole_other_refuses", silence::kBeforeWholeAnswer,
                     other_endpoint::kRefuses},
        overdue_case{"whole_other_breaks", silence::kBeforeWholeAnswer,
                     other_endpoint::kBreaks},
        overdue_case{"whole_other_takes_over", silence::kBeforeWholeAnswer,
                     other_endpoint::kTakesOver}),
    [](const auto& row) { return row.param.name; });

// A kept attempt that fails leaves nothing under way: no wait for the deadline.
TEST(overdue_attempts, RequestIsAnsweredAtOnceWhenTheLastOneBreaks) {
  overdue_player player(MakeOptions(true, 2));
  player.Route(false);
  player.PassTimer();
  player.Route(false);
  player.End(2, attempt_end_kind::kBroken);
  EXPECT_TRUE(player.errors().empty());
  player.End(1, attempt_end_kind::kBroken);
  EXPECT_EQ(player.errors(), std::vector{error_kind::kEndpointFailed});
  EXPECT_TRUE(player.is_done());
  EXPECT_LT(player.now(), kDeadline);
}

TEST(overdue_attempts, EndAtTheDeadline) {
  overdue_player player(MakeOptions(true, 3));
  player.Route(false);
  player.PassTimeUntil(kDeadline);
  EXPECT_TRUE(player.IsLive(1));
  player.PassTimer();
  EXPECT_EQ(player.errors(), std::vector{error_kind::kDeadlineExceeded});
  EXPECT_EQ(player.OutcomeOf(1), attempt_outcome::kTimedOut);
  EXPECT_TRUE(player.is_done());
}

// A route may become free long before the deadline.
TEST(overdue_attempts, RouteIsAskedForAgain) {
  overdue_player player(MakeOptions(true, 2));
  player.Route(false);
  player.PassTimer();
  player.RefuseRoute();
  const steady_time refused_at = player.now();
  player.PassTimer();
  EXPECT_GT(player.now(), refused_at + milliseconds(100));
  EXPECT_LT(player.now(), refused_at + milliseconds(2'000));
  player.Route(false);
  player.Head(2);
  player.Tokens(2, 0, kTokens);
  player.End(2, attempt_end_kind::kComplete);
  EXPECT_EQ(player.received(), TextOf(kTokens));
}

// The first one stays, beside at most one other.
TEST(overdue_attempts, SecondOneGivesWayToAThird) {
  overdue_player player(MakeOptions(true, 3));
  player.Route(false);
  player.PassTimer();
  player.Route(false);
  player.PassTimer();
  EXPECT_TRUE(player.IsLive(2));
  player.Route(false);
  EXPECT_TRUE(player.IsLive(1));
  EXPECT_FALSE(player.IsLive(2));
  EXPECT_EQ(player.OutcomeOf(2), attempt_outcome::kTimedOut);
  player.End(3, attempt_end_kind::kRefusedNotExecuted);
  player.Head(1);
  player.Tokens(1, 0, kTokens);
  player.End(1, attempt_end_kind::kComplete);
  EXPECT_EQ(player.received(), TextOf(kTokens));
  EXPECT_EQ(player.ends(), 1);
}

TEST(overdue_attempts, RouteThatComesAfterTheFirstWentOnIsUnused) {
  overdue_player player(MakeOptions(true, 2));
  player.Route(false);
  player.Head(1);
  player.Tokens(1, 0, 1);
  player.PassTimer();
  player.Tokens(1, 1, 2);
  player.Route(false);
  EXPECT_FALSE(player.IsLive(2));
  EXPECT_EQ(player.OutcomeOf(2), attempt_outcome::kUnused);
  player.Tokens(1, 2, kTokens);
  player.End(1, attempt_end_kind::kComplete);
  EXPECT_EQ(player.received(), TextOf(kTokens));
}

}  // namespace

}  // namespace shallotport
