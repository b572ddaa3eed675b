#include "jobstore/online_reserve.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace shallotport {

namespace {

constexpr double kReserve = 0.04;

struct reserve_case {
  std::string name;
  service_slot_facts facts;
  bool has_slot;
};

void PrintTo(const reserve_case& each, std::ostream* out) {
  *out << each.name;
}

class online_reserves : public testing::TestWithParam<reserve_case> {};

// Guards against a reserve that is rounded up to all slots of a small service,
// so that the items of an accepted job never begin.
TEST_P(online_reserves, LeaveASlotForItems) {
  EXPECT_EQ(HasSlotForItem(GetParam().facts, kReserve), GetParam().has_slot);
}

// Facts: slots, taken, has_attempts.
INSTANTIATE_TEST_SUITE_P(
    table,
    online_reserves,
    testing::Values(reserve_case{"none", {0, 0, false}, false},
                    reserve_case{"one", {1, 0, false}, true},
                    reserve_case{"one_taken", {1, 1, false}, false},
                    reserve_case{"two", {2, 0, false}, true},
                    reserve_case{"two_beside_a_request", {2, 1, false}, true},
                    reserve_case{"two_beside_an_item", {2, 1, true}, false},
                    reserve_case{"three", {3, 1, true}, true},
                    reserve_case{"three_at_the_reserve", {3, 2, false}, false},
                    reserve_case{"many", {100, 95, true}, true},
                    reserve_case{"many_at_the_reserve", {100, 96, true}, false},
                    reserve_case{"overfull", {4, 9, false}, false}),
    [](const auto& info) { return info.param.name; });

// Guards against the same for any share and size: a service without online
// requests executes at least one item.
TEST(online_reserve, AnIdleServiceTakesAnItem) {
  for (const double reserve : {0.0, 0.01, 0.04, 0.3, 0.5, 0.9, 1.0}) {
    for (uint32_t slots = 1; slots <= 65; ++slots) {
      EXPECT_TRUE(HasSlotForItem({slots, 0, false}, reserve))
          << slots << " slots, reserve " << reserve;
    }
  }
}

}  // namespace

}  // namespace shallotport
