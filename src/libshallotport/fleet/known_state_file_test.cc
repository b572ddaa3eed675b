#include "fleet/known_state_file.h"

#include <gtest/gtest.h>

#include "fleet/control_state.h"
#include "storage/fake_file_system_test_util.h"

namespace shallotport {

namespace {

known_state MakeState(uint64_t version) {
  known_state state;
  state.document = {version, "routes"};
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.slots = 8;
  state.reports.push_back(report);
  return state;
}

TEST(known_state_file_test, LoadsLastSavedState) {
  fake_file_system files;
  known_state_file file(files, "data");
  EXPECT_TRUE(file.Load().document.bytes.empty());
  ASSERT_TRUE(IsOk(file.Save(MakeState(1))));
  ASSERT_TRUE(IsOk(file.Save(MakeState(2))));
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
    ASSERT_TRUE(IsOk(file.Save(MakeState(1))));
    ASSERT_TRUE(IsOk(file.Save(MakeState(2))));
    files.Crash(random);
    EXPECT_EQ(file.Load().document.version, 2u) << "seed " << seed;
  }
}

TEST(known_state_file_test, TornFileLoadsAsEmpty) {
  fake_file_system files;
  known_state_file file(files, "data");
  ASSERT_TRUE(IsOk(file.Save(MakeState(1))));
  auto torn = files.Open("data/known");
  ASSERT_TRUE(IsOk(torn));
  ASSERT_TRUE(IsOk(ValueOf(torn)->Truncate(20)));
  EXPECT_TRUE(file.Load().document.bytes.empty());
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
