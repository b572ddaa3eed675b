#include "routing/request_router.h"

#include <gtest/gtest.h>

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const account_id kAccount("lysberg");
const service_id kService("unlock");

steady_time At(int64_t ms) {
  return steady_time(seconds(1'000) + milliseconds(ms));
}

endpoint_record MakeRecord(const std::string& name) {
  endpoint_record record;
  record.id = endpoint_id(name);
  record.started = 1;
  record.domain = domain_id("a");
  record.address = "127.0.0.1:1";
  record.services = {kService};
  record.load.sequence = 1;
  record.load.slots = 4;
  return record;
}

configuration MakeConfiguration() {
  configuration settings;
  settings.accounts.push_back({kAccount, "", 1'000, 1'000, 1});
  service_configuration service;
  service.id = kService;
  settings.services.push_back(service);
  return settings;
}

route_query MakeQuery(steady_time now) {
  route_query query;
  query.account = kAccount;
  query.service = kService;
  query.deadline = now + seconds(10);
  return query;
}

class request_router_test : public testing::Test {
 protected:
  request_router_test() : router_({host_id("h1"), domain_id("a"), 1, "", 7}) {
    router_.SetConfiguration(MakeConfiguration(), 1);
  }

  void AddEndpoints(int count) {
    for (int i = 0; i < count; ++i) {
      router_.UpdateEndpoint(At(0), MakeRecord("e" + std::to_string(i)));
    }
  }

  request_router router_;
};

TEST_F(request_router_test, ChoosesAnEndpointOfTheService) {
  AddEndpoints(2);
  const auto choice = router_.Admit(At(0), MakeQuery(At(0)));
  ASSERT_TRUE(IsOk(choice));
  EXPECT_EQ(ValueOf(choice).started, 1u);
  EXPECT_FALSE(ValueOf(choice).endpoint.IsEmpty());
}

TEST_F(request_router_test, LeavingEndpointGetsNoWorkAndStaysLeaving) {
  AddEndpoints(1);
  endpoint_record record = MakeRecord("e0");
  record.is_leaving = true;
  record.load.sequence = 5;
  router_.UpdateEndpoint(At(1), record);
  router_.UpdateEndpoint(At(2), MakeRecord("e0"));
  const auto choice = router_.Admit(At(3), MakeQuery(At(3)));
  ASSERT_FALSE(IsOk(choice));
  EXPECT_EQ(ErrorOf(choice).kind, error_kind::kNoCapacity);
  EXPECT_GT(ErrorOf(choice).retry_after.count(), 0);
}

}  // namespace

}  // namespace shallotport
