// Prints the configuration of Lysberg Solkraft: one assistant model with an
// adapter for each brand, the unlock service, and the credit desk's batches.
#include <chrono>

#include "deploy/configuration_builder.h"

int main() {
  using namespace shallotport;
  using std::chrono::milliseconds;
  using std::chrono::seconds;

  configuration_builder builder;
  builder
      .Add(account_builder("field-app")
               .WithToken("field-app-token")
               .WithLimits(400, 800))
      .Add(account_builder("credit-desk")
               .WithToken("credit-desk-token")
               .WithLimits(50, 100)
               .WithBatchWeight(2)
               .OnlyCalls({"assistant-nordlykt", "assistant-solvarde",
                           "assistant-fjellglod"}));
  for (const char* brand :
       {"assistant-nordlykt", "assistant-solvarde", "assistant-fjellglod"}) {
    builder.Add(
        service_builder::Model(brand)
            .WithDeadline(seconds(30))
            .WithSilenceTimeouts(milliseconds(2'000), milliseconds(1'000))
            .WithBatch(batch_choice::kGuarded)
            .WithOnlineReserve(2));
  }
  builder.Add(service_builder::AtMostOnce("unlock")
                  .OnlyFor({"field-app"})
                  .WithDeadline(seconds(8))
                  .WithSilenceTimeouts(seconds(4), seconds(1)));
  return PrintOrExplain(builder.Build());
}
