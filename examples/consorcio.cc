// Prints the configuration of Consorcio Apartado Tico: three rival firms on one
// platform. Each firm's advice model answers that firm only.
#include <chrono>
#include <string>

#include "deploy/configuration_builder.h"

int main() {
  using namespace shallotport;
  using std::chrono::milliseconds;
  using std::chrono::seconds;

  configuration_builder builder;
  for (const std::string firm : {"alajuela", "cartago", "heredia"}) {
    const std::string advice = "advice-" + firm;
    builder.Add(account_builder(firm)
                    .WithToken(firm + "-token")
                    .WithLimits(300, 600)
                    .WithBatchWeight(1)
                    .OnlyCalls({advice, "ledger-balance", "ledger-transfer"}));
    builder.Add(
        service_builder::Model(advice)
            .OnlyFor({firm})
            .WithDeadline(seconds(20))
            .WithSilenceTimeouts(milliseconds(2'000), milliseconds(1'000))
            .WithBatch(batch_choice::kGuarded)
            .WithOnlineReserve(1));
  }
  builder
      .Add(service_builder::Plain("ledger-balance")
               .WithDeadline(seconds(2))
               .WithHedgingAfter(milliseconds(150)))
      .Add(service_builder::AtMostOnce("ledger-transfer")
               .WithDeadline(seconds(10)));
  return PrintOrExplain(builder.Build());
}
