#include "entry/route_history.h"

#include <gtest/gtest.h>

#include "streams/stream_messages.h"

namespace shallotport {

namespace {

using std::chrono::seconds;

const steady_time kStart{seconds(1'000)};

route MakeRoute(const std::string& service, uint32_t weight = 1) {
  route made;
  made.host = "h.example";
  made.prefix = "/a/";
  made.services = {{service_id(service), weight}, {service_id("drained"), 0}};
  return made;
}

route_configuration MakeConfiguration(const route& of) {
  route_configuration made;
  made.routes = {of};
  return made;
}

TEST(route_history_test, RouteHasMovedWhileStreamsOfItsFormerServiceLive) {
  route_history history;
  history.Update(kStart, MakeConfiguration(MakeRoute("a")));
  EXPECT_FALSE(history.HasMoved(kStart, MakeRoute("a")));
  history.Update(kStart, MakeConfiguration(MakeRoute("a", 7)));
  EXPECT_FALSE(history.HasMoved(kStart, MakeRoute("a")));
  // In force for longer than a stream lives, dropped, and added again.
  const steady_time later = kStart + 2 * kStreamLifetime;
  history.Update(later, {});
  history.Update(later + seconds(1), MakeConfiguration(MakeRoute("b")));
  const steady_time moved_at = later + seconds(1);
  EXPECT_TRUE(history.HasMoved(moved_at, MakeRoute("b")));
  EXPECT_FALSE(history.HasMoved(moved_at + kStreamLifetime, MakeRoute("b")));
}

}  // namespace

}  // namespace shallotport
