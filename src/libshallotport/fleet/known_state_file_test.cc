#include "fleet/known_state_file.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/codec.h"
#include "base/digest.h"
#include "fleet/control_state.h"
#include "storage/fake_file_system_test_util.h"

namespace shallotport {

namespace {

std::vector<endpoint_report> MakeReports(uint32_t slots) {
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.slots = slots;
  return {report};
}

TEST(known_state_file_test, LoadsLastSavedState) {
  fake_file_system files;
  known_state_file file(files, "data");
  EXPECT_TRUE(file.Load().document.bytes.empty());
  ASSERT_TRUE(IsOk(file.SaveDocument({1, "routes"})));
  ASSERT_TRUE(IsOk(file.SaveReports(MakeReports(4))));
  ASSERT_TRUE(IsOk(file.SaveDocument({2, "routes"})));
  ASSERT_TRUE(IsOk(file.SaveReports(MakeReports(8))));
  const known_state read = known_state_file(files, "data").Load();
  EXPECT_EQ(read.document.version, 2u);
  ASSERT_EQ(read.reports.size(), 1u);
  EXPECT_EQ(read.reports[0].slots, 8u);
}

TEST(known_state_file_test, SavedStateSurvivesPowerLoss) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    fake_file_system files;
    random_source random(seed);
    known_state_file file(files, "data");
    ASSERT_TRUE(IsOk(file.SaveDocument({1, "routes"})));
    ASSERT_TRUE(IsOk(file.SaveReports(MakeReports(4))));
    ASSERT_TRUE(IsOk(file.SaveDocument({2, "routes"})));
    ASSERT_TRUE(IsOk(file.SaveReports(MakeReports(8))));
    files.Crash(random);
    const known_state read = file.Load();
    EXPECT_EQ(read.document.version, 2u) << "seed " << seed;
    ASSERT_EQ(read.reports.size(), 1u) << "seed " << seed;
    EXPECT_EQ(read.reports[0].slots, 8u) << "seed " << seed;
  }
}

TEST(known_state_file_test, TornFilesLoadAsEmpty) {
  for (const char* name : {"known", "known-configuration"}) {
    fake_file_system files;
    known_state_file file(files, "data");
    ASSERT_TRUE(IsOk(file.SaveDocument({1, "routes"})));
    ASSERT_TRUE(IsOk(file.SaveReports(MakeReports(4))));
    auto torn = files.Open(std::string("data/") + name);
    ASSERT_TRUE(IsOk(torn));
    ASSERT_TRUE(IsOk(ValueOf(torn)->Truncate(20)));
    const known_state read = file.Load();
    EXPECT_NE(read.document.bytes.empty(), read.reports.empty()) << name;
  }
}

TEST(known_state_file_test, LeavesDoNotWriteTheConfigurationAgain) {
  fake_file_system files;
  known_state_file file(files, "data");
  ASSERT_TRUE(IsOk(file.SaveDocument({1, std::string(500'000, 'r')})));
  ASSERT_TRUE(IsOk(file.SaveReports(MakeReports(4))));
  const auto size = files.SizeOf("data/known");
  ASSERT_TRUE(IsOk(size));
  EXPECT_LT(ValueOf(size), 1'000u);
}

// As builds before known-configuration wrote it.
TEST(known_state_file_test, ReadsTheFileOfAnEarlierBuild) {
  fake_file_system files;
  known_state_file file(files, "data");
  const std::string body = Encode(known_state{{3, "routes"}, MakeReports(4)});
  const uint64_t checksum = HashOf(body);
  std::string bytes(reinterpret_cast<const char*>(&checksum), sizeof(checksum));
  bytes += body;
  auto earlier = files.Open("data/known");
  ASSERT_TRUE(IsOk(earlier));
  ASSERT_TRUE(IsOk(ValueOf(earlier)->Append(bytes)));
  EXPECT_EQ(file.Load().document.version, 3u);
  EXPECT_EQ(file.Load().reports.size(), 1u);
  ASSERT_TRUE(IsOk(file.SaveDocument({4, "routes"})));
  EXPECT_EQ(file.Load().document.version, 4u);
}

std::string PutCommand(uint64_t version, const std::string& bytes) {
  control_command command;
  command.kind = control_command_kind::kPutDocument;
  command.document = {version, bytes};
  return EncodeControlCommand(command);
}

TEST(control_state_test, KeepsFirstDocumentOfHighestVersion) {
  control_state state;
  int changes = 0;
  state.on_changed = [&] { ++changes; };
  state.Apply({}, PutCommand(3, "three"));
  state.Apply({}, PutCommand(2, "two"));
  state.Apply({}, PutCommand(3, "other"));
  EXPECT_EQ(state.document().bytes, "three");
  EXPECT_EQ(changes, 1);
  state.Apply({}, "no command");
  state.Apply({}, PutCommand(7, "seven"));
  EXPECT_EQ(state.document().version, 7u);
}

TEST(control_state_test, JobGroupFoundersAreSetOnce) {
  control_state state;
  control_command command;
  command.kind = control_command_kind::kFoundJobGroup;
  command.founders = {host_id("x")};
  state.Apply({}, EncodeControlCommand(command));
  command.founders = {host_id("y")};
  state.Apply({}, EncodeControlCommand(command));
  EXPECT_EQ(state.job_founders(), std::vector<host_id>{host_id("x")});
}

}  // namespace

}  // namespace shallotport
