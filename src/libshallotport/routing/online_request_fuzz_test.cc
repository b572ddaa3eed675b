#include <gtest/gtest.h>

#include <cstdlib>

#include "routing/testing/online_request_simulation.h"

namespace shallotport {

namespace {

// Number of simulations; ROUTING_FUZZ_SEEDS raises it for manual runs.
uint64_t SeedCount() {
  const char* text = std::getenv("ROUTING_FUZZ_SEEDS");
  return text == nullptr ? 20'000 : std::strtoull(text, nullptr, 10);
}

// Under random faults of endpoints, claim and router, no request may get two
// responses, a partial or foreign one, or be executed twice without permission.
// Also fails if a branch of the state machine is no longer reached.
TEST(online_request_fuzz, EveryRequestGetsOneWholeResponseOfItsOwn) {
  simulation_counts counts;
  for (uint64_t seed = 1; seed <= SeedCount() && !testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    online_request_simulation simulation(seed, counts);
    simulation.Run();
  }
  for (const auto& [name, count] : counts.by_name) {
    RecordProperty(name, count);
  }
  for (const char* name :
       {"whole", "recorded", "resumed", "restarted", "retry", "hedge",
        "kept_attempt_went_on", "outcome_queried", "outcome_queried_early",
        "outcome_not_run", "claim_finished", "claim_released",
        "claim_abandoned", "outcome_unknown", "endpoint_failed", "no_capacity",
        "deadline_unreachable", "deadline_exceeded"}) {
    EXPECT_GT(counts.by_name[name], 0) << name << " was never reached";
  }
}

}  // namespace

}  // namespace shallotport
