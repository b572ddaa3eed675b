#include "routing/online_request.h"

#include <gtest/gtest.h>

namespace shallotport {

namespace {

using std::chrono::seconds;

steady_time At(int64_t ms) {
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
  options.deadline = At(10'000);
  return options;
}

route_decided MakeRoute(const std::string& name, attempt_ticket ticket) {
  route_choice route;
  route.endpoint = endpoint_id(name);
  route.ticket = ticket;
  return {route};
}

TEST(OnlineRequest, DeliversOneWholeAnswer) {
  online_request request(MakeOptions());
  EXPECT_TRUE(FindAction<ask_route>(request.Start(At(0))));
  const auto started = request.Handle(At(1), MakeRoute("e1", 1));
  const start_attempt* start = FindAction<start_attempt>(started);
  ASSERT_TRUE(start);
  request.Handle(At(2), attempt_head{1, start->id.text(), 200, "text/plain"});
  request.Handle(At(3), attempt_piece{1, "hello", std::nullopt});
  const auto ended =
      request.Handle(At(4), attempt_ended{1, attempt_end_kind::kComplete, {}});
  ASSERT_TRUE(FindAction<send_bytes>(ended));
  EXPECT_EQ(FindAction<send_bytes>(ended)->bytes, "hello");
  EXPECT_TRUE(FindAction<send_end>(ended));
  EXPECT_TRUE(request.is_done());
}

}  // namespace

}  // namespace shallotport
