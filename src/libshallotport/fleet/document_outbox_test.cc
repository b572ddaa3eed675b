#include "fleet/document_outbox.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace shallotport {

namespace {

constexpr uint64_t kDigest = 77;

using step = document_outbox::step;
using act = std::function<document_outbox::decision(document_outbox& outbox)>;

act Publish(uint64_t version) {
  return [version](document_outbox& outbox) {
    return outbox.OnPublished(version, kDigest);
  };
}

act Receive(uint64_t version, bool awaits_notice, uint64_t newest) {
  return [=](document_outbox& outbox) {
    const uint64_t digest = version == 0 ? 0 : kDigest;
    return outbox.OnReceipt({version, digest, awaits_notice}, newest, kDigest);
  };
}

act Announce(uint64_t version, uint64_t newest) {
  return [=](document_outbox& outbox) {
    return outbox.OnAnnounced(version, newest);
  };
}

struct exchange_step {
  act happens;
  step sent = step::kNothing;
  uint64_t base_version = 0;
};

struct outbox_case {
  std::string name;
  std::vector<exchange_step> steps;
};

std::ostream& operator<<(std::ostream& out, const outbox_case& each) {
  return out << each.name;
}

class document_outboxes : public testing::TestWithParam<outbox_case> {};

TEST_P(document_outboxes, SendWhatAHostLacks) {
  document_outbox outbox;
  int number = 0;
  for (const exchange_step& each : GetParam().steps) {
    const auto decision = each.happens(outbox);
    EXPECT_EQ(decision.next, each.sent) << "step " << number;
    EXPECT_EQ(decision.base_version, each.base_version) << "step " << number;
    ++number;
  }
}

INSTANTIATE_TEST_SUITE_P(
    all,
    document_outboxes,
    testing::Values(
        outbox_case{"nothing_before_the_host_is_known", {{Publish(3)}}},
        outbox_case{
            "new_link_of_a_host_without_configuration",
            {{Receive(0, true, 5), step::kNotice, 0}, {Announce(0, 5)}}},
        outbox_case{"first_document_has_version_0",
                    {{Receive(0, true, 0), step::kNotice, 0}}},
        outbox_case{"new_link_of_a_current_host",
                    {{Receive(5, true, 5)},
                     {Announce(5, 5)},
                     {Publish(6), step::kNotice, 5}}},
        outbox_case{"differences_follow_each_other_unread",
                    {{Receive(5, true, 5)},
                     {Publish(6), step::kNotice, 5},
                     {Publish(8), step::kNotice, 6},
                     {Receive(6, false, 8)},
                     {Announce(6, 8)},
                     {Receive(8, false, 8)},
                     {Publish(9), step::kNotice, 8}}},
        outbox_case{"a_host_that_cannot_apply_a_difference_asks_again",
                    {{Receive(5, true, 5)},
                     {Publish(6), step::kNotice, 5},
                     {Receive(4, true, 6), step::kNotice, 4},
                     {Publish(7), step::kNotice, 6}}},
        outbox_case{"earlier_build_gets_one_document_at_a_time",
                    {{Announce(0, 5), step::kWhole},
                     {Publish(6)},
                     {Publish(7)},
                     {Announce(0, 7)},
                     {Announce(5, 7), step::kWhole},
                     {Announce(7, 7)},
                     {Publish(8), step::kWhole}}},
        outbox_case{"earlier_build_that_is_current",
                    {{Announce(5, 5)}, {Announce(5, 5)}}},
        outbox_case{"earlier_build_that_has_a_newer_one",
                    {{Announce(9, 5)}, {Publish(6)}}}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
