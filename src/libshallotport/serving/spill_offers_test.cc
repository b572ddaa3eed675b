#include "serving/spill_offers.h"

#include <gtest/gtest.h>

namespace shallotport {
namespace {

TEST(SpillOffers, SplitADomainsFreeSlotsOverItsContacts) {
  const std::vector<spill_contact> contacts = {
      {host_id("b1"), domain_id("b"), "127.0.0.1:1"},
      {host_id("c1"), domain_id("c"), "127.0.0.1:2"},
      {host_id("b2"), domain_id("b"), "127.0.0.1:3"}};
  service_summary free_in_b;
  free_in_b.domain = domain_id("b");
  free_in_b.service = service_id("assistant");
  free_in_b.endpoints = 2;
  free_in_b.slots = 8;
  free_in_b.running = 2;
  free_in_b.queued = 1;
  service_summary full_in_c = free_in_b;
  full_in_c.domain = domain_id("c");
  full_in_c.queued = 100;
  const std::vector<service_summary> summaries = {free_in_b, full_in_c};

  const auto offers = MakeSpillOffers(summaries, contacts, 7);

  ASSERT_EQ(offers.size(), 3U);
  EXPECT_EQ(offers[0].services.at(0).free_slots, 3U);
  EXPECT_EQ(offers[1].services.at(0).free_slots, 0U);
  EXPECT_EQ(offers[2].services.at(0).free_slots, 2U);
  EXPECT_EQ(offers[2].address, "127.0.0.1:3");
  EXPECT_EQ(offers[2].sequence, 7U);
}

}  // namespace
}  // namespace shallotport
