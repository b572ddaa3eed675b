#include "fleet/group_healer.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace shallotport {

namespace {

constexpr std::chrono::seconds kLater{10};

member_report Member(const std::string& host,
                     incarnation disk,
                     bool is_voter,
                     bool is_in_contact = true) {
  member_report report;
  report.member = {host_id(host), disk, is_voter};
  report.is_in_contact = is_in_contact;
  report.is_caught_up = is_in_contact;
  report.is_self = host == "a";
  return report;
}

host_announcement Host(const std::string& host, incarnation disk) {
  host_announcement announcement;
  announcement.host = host_id(host);
  announcement.name = "name-" + host;
  announcement.domain = domain_id("domain-" + host);
  announcement.disk = disk;
  return announcement;
}

struct healing_case {
  std::string name;
  std::vector<member_report> members;
  std::vector<host_announcement> live;
  std::set<std::string> retiring;
  bool is_repeated_later;  // NextStep() is called again ten seconds later.
  std::string step;        // "add x", "promote x", "remove x", or nothing.
};

std::string Describe(const std::optional<healing_step>& step) {
  if (!step) {
    return {};
  }
  constexpr const char* kNames[] = {"add ", "promote ", "remove "};
  return kNames[static_cast<size_t>(step->step)] + step->host.text();
}

class healing : public testing::TestWithParam<healing_case> {};

TEST_P(healing, ReturnsExpectedStep) {
  group_healer healer({});
  const healing_case& given = GetParam();
  auto step = healer.NextStep({}, given.members, given.live, given.retiring);
  if (given.is_repeated_later) {
    step = healer.NextStep(steady_time(kLater), given.members, given.live,
                           given.retiring);
  }
  EXPECT_EQ(Describe(step), given.step);
}

const std::vector<member_report> kThreeMembers = {
    Member("a", 1, true), Member("b", 2, true), Member("c", 3, true)};
const std::vector<host_announcement> kThreeLive = {Host("a", 1), Host("b", 2),
                                                   Host("c", 3)};

std::vector<host_announcement> With(std::vector<host_announcement> live,
                                    const host_announcement& more) {
  live.push_back(more);
  return live;
}

INSTANTIATE_TEST_SUITE_P(
    table,
    healing,
    testing::Values(
        healing_case{"healthy_group_needs_no_step",
                     kThreeMembers,
                     kThreeLive,
                     {},
                     true,
                     ""},
        healing_case{"standby_is_added",
                     kThreeMembers,
                     With(kThreeLive, Host("d", 4)),
                     {},
                     false,
                     "add d"},
        healing_case{"second_standby_is_not_added",
                     {kThreeMembers[0], kThreeMembers[1], kThreeMembers[2],
                      Member("d", 4, false)},
                     With(With(kThreeLive, Host("d", 4)), Host("e", 5)),
                     {},
                     true,
                     ""},
        healing_case{"host_without_open_disk_is_not_added",
                     kThreeMembers,
                     With(kThreeLive, Host("d", 0)),
                     {},
                     true,
                     ""},
        healing_case{"wiped_member_is_removed_at_once",
                     kThreeMembers,
                     {Host("a", 1), Host("b", 9), Host("c", 3)},
                     {},
                     false,
                     "remove b"},
        healing_case{"wiped_host_is_added_again",
                     {kThreeMembers[0], kThreeMembers[2]},
                     {Host("a", 1), Host("b", 9), Host("c", 3)},
                     {},
                     false,
                     "add b"},
        healing_case{
            "wiped_host_is_promoted_again",
            {kThreeMembers[0], kThreeMembers[2], Member("b", 0, false)},
            {Host("a", 1), Host("b", 9), Host("c", 3)},
            {},
            false,
            "promote b"},
        healing_case{"member_silent_for_short_time_is_kept",
                     {kThreeMembers[0], kThreeMembers[1],
                      Member("c", 3, true, false), Member("d", 4, false)},
                     With(kThreeLive, Host("d", 4)),
                     {},
                     false,
                     ""},
        healing_case{"standby_is_promoted_for_lost_voter",
                     {kThreeMembers[0], kThreeMembers[1],
                      Member("c", 3, true, false), Member("d", 4, false)},
                     With(kThreeLive, Host("d", 4)),
                     {},
                     true,
                     "promote d"},
        healing_case{"lost_voter_is_removed_after_promotion",
                     {kThreeMembers[0], kThreeMembers[1],
                      Member("c", 3, true, false), Member("d", 4, true)},
                     {Host("a", 1), Host("b", 2), Host("d", 4)},
                     {},
                     true,
                     "remove c"},
        healing_case{
            "lost_voter_without_standby_is_kept",
            {kThreeMembers[0], kThreeMembers[1], Member("c", 3, true, false)},
            {Host("a", 1), Host("b", 2)},
            {},
            true,
            ""},
        healing_case{"standby_is_promoted_for_retiring_voter",
                     {kThreeMembers[0], kThreeMembers[1], kThreeMembers[2],
                      Member("d", 4, false)},
                     With(kThreeLive, Host("d", 4)),
                     {"name-b"},
                     false,
                     "promote d"},
        healing_case{"retiring_voter_is_removed_after_promotion",
                     {kThreeMembers[0], kThreeMembers[1], kThreeMembers[2],
                      Member("d", 4, true)},
                     With(kThreeLive, Host("d", 4)),
                     {"name-b"},
                     false,
                     "remove b"},
        healing_case{"retiring_host_is_not_added_again",
                     {kThreeMembers[0], kThreeMembers[2], Member("d", 4, true)},
                     With(kThreeLive, Host("d", 4)),
                     {"name-b"},
                     true,
                     ""},
        healing_case{"surplus_voter_is_removed",
                     {kThreeMembers[0], kThreeMembers[1], kThreeMembers[2],
                      Member("d", 4, true)},
                     With(kThreeLive, Host("d", 4)),
                     {},
                     false,
                     "remove b"}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
