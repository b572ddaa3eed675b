#include "deploy/configuration_builder.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "control/configuration_parser.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

TEST(ConfigurationBuilder, BuildsWhatTheParserReadsBack) {
  const auto built =
      configuration_builder()
          .Add(account_builder("north").WithToken("n").WithLimits(50, 20))
          .Add(account_builder("south")
                   .WithToken("s")
                   .WithBatchWeight(3)
                   .OnlyCalls({"unlock"}))
          .Add(service_builder::Model("assistant")
                   .WithRouting(routing_choice::kRoundRobin)
                   .WithBatch(batch_choice::kGreedy)
                   .WithSilenceTimeouts(milliseconds(800), milliseconds(300)))
          .Add(service_builder::AtMostOnce("unlock")
                   .OnlyFor({"south"})
                   .WithDeadline(milliseconds(4'000)))
          .Build();
  ASSERT_TRUE(IsOk(built)) << ErrorOf(built).detail;
  const configuration& config = ValueOf(built);
  const service_configuration& unlock =
      *FindService(config, service_id("unlock"));
  EXPECT_FALSE(unlock.is_idempotent);
  EXPECT_EQ(FindService(config, service_id("assistant"))->batch_strategy,
            "greedy");
  const auto again = ParseConfiguration(PrintConfiguration(config), "x");
  ASSERT_TRUE(IsOk(again));
  EXPECT_EQ(ValueOf(again), config);
}

TEST(ConfigurationBuilder, ListsEveryProblemWithTheItemsName) {
  const auto built =
      configuration_builder()
          .Add(account_builder("north"))
          .Add(account_builder("south").WithToken("s").OnlyCalls({"opener"}))
          .Add(service_builder::AtMostOnce("unlock")
                   .WithHedgingAfter(milliseconds(5))
                   .OnlyFor({"west"}))
          .Build();
  ASSERT_FALSE(IsOk(built));
  const std::string& detail = ErrorOf(built).detail;
  EXPECT_EQ(std::count(detail.begin(), detail.end(), '\n'), 4) << detail;
  for (const char* expected :
       {"accounts[0] (north).token_sha256: ",
        "accounts[1] (south).services: no such id: opener; expected ",
        "services[0] (unlock).hedge_after_ms: ",
        "services[0] (unlock).accounts: no such id: west; expected "}) {
    EXPECT_NE(detail.find(expected), std::string::npos) << detail;
  }
}

}  // namespace
}  // namespace shallotport
