#include "routing/online_request.h"

#include <gtest/gtest.h>

namespace shallotport {

namespace {

using std::chrono::seconds;

steady_time TimeAt(int64_t ms) {
  return steady_time(seconds(1'000) + std::chrono::milliseconds(ms));
}

template <typename T>
const T* FindAction(const std::vector<online_action>& actions) {
  for (const online_action& action : actions) {
    if (const T* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

online_request_options MakeOptions() {
  online_request_options options;
  options.id = request_id("r");
  options.deadline = TimeAt(10'000);
  return options;
}

route_decided MakeRoute(const std::string& name, attempt_ticket ticket) {
  route_choice route;
  route.endpoint = endpoint_id(name);
  route.ticket = ticket;
  return {route};
}

TEST(online_request, DeliversOneWholeResponse) {
  online_request request(MakeOptions());
  EXPECT_TRUE(FindAction<request_route>(request.Start(TimeAt(0))));
  const auto started = request.Handle(TimeAt(1), MakeRoute("e1", 1));
  const start_attempt* start = FindAction<start_attempt>(started);
  ASSERT_TRUE(start);
  request.Handle(TimeAt(2),
                 attempt_head{1, start->id.text(), 200, "text/plain"});
  request.Handle(TimeAt(3), attempt_chunk{1, "hello", std::nullopt});
  const auto ended = request.Handle(
      TimeAt(4), attempt_ended{1, attempt_end_kind::kComplete, {}});
  ASSERT_TRUE(FindAction<send_bytes>(ended));
  EXPECT_EQ(FindAction<send_bytes>(ended)->bytes, "hello");
  EXPECT_TRUE(FindAction<send_end>(ended));
  EXPECT_TRUE(request.is_done());
}

// A response that is not streamed sends its first byte only at its end, so the
// first byte timeout alone would cancel every long one.
TEST(online_request, SlowWholeResponseIsNotTakenForASilentConnection) {
  for (const bool is_stream : {false, true}) {
    online_request_options options = MakeOptions();
    options.deadline = TimeAt(60'000);
    options.is_stream = is_stream;
    online_request request(options);
    request.Start(TimeAt(0));
    route_decided route = MakeRoute("e1", 1);
    ValueOf(route.choice).expected_time = seconds(8);
    request.Handle(TimeAt(0), route);
    EXPECT_EQ(request.next_timer(), is_stream ? TimeAt(5'000) : TimeAt(21'000));
    const auto late = request.Handle(request.next_timer(), timer_expired{});
    EXPECT_FALSE(FindAction<cancel_attempt>(late));
    EXPECT_TRUE(FindAction<request_route>(late));
  }
}

// Endpoints end an attempt themselves shortly before the deadline; such ends
// must not open the circuit breaker.
TEST(online_request, AttemptEndedByTheDeadlineDoesNotCountAgainstTheEndpoint) {
  online_request request(MakeOptions());
  request.Start(TimeAt(0));
  request.Handle(TimeAt(9'000), MakeRoute("e1", 1));
  const auto ended = request.Handle(
      TimeAt(9'999), attempt_ended{1, attempt_end_kind::kBroken, {}});
  ASSERT_TRUE(FindAction<respond_error>(ended));
  EXPECT_EQ(FindAction<respond_error>(ended)->failure.kind,
            error_kind::kDeadlineExceeded);
  ASSERT_TRUE(FindAction<report_finished>(ended));
  EXPECT_EQ(FindAction<report_finished>(ended)->outcome,
            attempt_outcome::kCancelled);
}

// A restarted stream may contain other tokens. If it differs from the delivered
// part, the request must end in an error, not in mixed content.
TEST(online_request, RestartedStreamThatDiffersFailsTheRequest) {
  online_request_options options = MakeOptions();
  options.is_stream = true;
  online_request request(options);
  request.Start(TimeAt(0));
  request.Handle(TimeAt(0), MakeRoute("e1", 1));
  request.Handle(TimeAt(1), attempt_head{1, "r.1", 200, "text/event-stream"});
  request.Handle(TimeAt(2), attempt_chunk{1, "set aside ", std::nullopt});
  const auto broken = request.Handle(
      TimeAt(3), attempt_ended{1, attempt_end_kind::kTruncated, {}});
  EXPECT_TRUE(FindAction<request_route>(broken));
  request.Handle(TimeAt(4), MakeRoute("e2", 2));
  request.Handle(TimeAt(5), attempt_head{2, "r.2", 200, "text/event-stream"});
  const auto other =
      request.Handle(TimeAt(6), attempt_chunk{2, "put away ", std::nullopt});
  ASSERT_TRUE(FindAction<respond_error>(other));
  EXPECT_EQ(FindAction<respond_error>(other)->failure.kind,
            error_kind::kEndpointFailed);
  EXPECT_TRUE(FindAction<respond_error>(other)->is_after_head);
  EXPECT_FALSE(FindAction<send_bytes>(other));
  EXPECT_TRUE(request.is_done());
}

}  // namespace

}  // namespace shallotport
