#include "jobstore/job_table.h"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base/codec.h"

namespace shallotport {

namespace {

const job_id kJob("job-1");
const stream_origin kOld{service_id("svc"), "v2"};
const stream_origin kNew{service_id("svc"), "v1"};
const stream_origin kOtherService{service_id("other"), "v2"};

job_submission MakeJob(const std::string& id, int items, uint64_t limit = 0) {
  job_submission job;
  job.job = job_id(id);
  job.route = "route";
  job.waiting_tokens_limit = limit;
  job.objective_ms = 18'000;
  job.max_failures = 3;
  for (int i = 0; i < items; ++i) {
    job_item item;
    item.id = "item-" + std::to_string(i);
    item.body = shared_text("body-" + std::to_string(i));
    item.tokens = 100;
    job.items.push_back(std::move(item));
  }
  return job;
}

// Applies commands with increasing log index and leader time.
class table_driver {
 public:
  job_store_reply_kind Apply(const job_command& command) {
    ++context_.index;
    context_.leader_time += 10;
    const auto reply = Decode<job_store_reply>(
        table.Apply(context_, EncodeJobCommand(command)));
    return ValueOf(reply).kind;
  }
  job_store_reply_kind Submit(const job_submission& job) {
    job_command command;
    command.kind = job_command_kind::kSubmit;
    command.job = job.job;
    command.submission = job;
    return Apply(command);
  }
  job_store_reply_kind Progress(uint32_t item,
                                const std::string& base,
                                const std::string& text,
                                const std::string& last,
                                const stream_origin& origin = kOld,
                                bool is_restart = false) {
    job_command command;
    command.kind = job_command_kind::kProgress;
    command.progress = {{kJob, {{item, base, text, last, origin, is_restart}}}};
    return Apply(command);
  }
  job_store_reply_kind Record(uint32_t item,
                              const std::string& base,
                              const std::string& text,
                              const stream_origin& origin = kOld,
                              bool is_restart = false) {
    job_command command;
    command.kind = job_command_kind::kRecord;
    command.job = kJob;
    command.item_index = item;
    command.result.is_completed = true;
    command.result.text = shared_text(text);
    command.base_event = base;
    command.origin = origin;
    command.is_restart = is_restart;
    return Apply(command);
  }
  job_store_reply_kind Cancel() {
    job_command command;
    command.kind = job_command_kind::kCancel;
    command.job = kJob;
    return Apply(command);
  }
  // As an item that can never be done.
  job_store_reply_kind GiveUp(uint32_t item) {
    job_command command;
    command.kind = job_command_kind::kRecord;
    command.job = kJob;
    command.item_index = item;
    return Apply(command);
  }
  // From a snapshot of itself.
  void Restore() {
    std::ostringstream out;
    ASSERT_TRUE(IsOk(table.BeginSnapshot()->Write(out)));
    std::istringstream in(out.str());
    ASSERT_TRUE(IsOk(table.LoadSnapshot(in)));
  }
  void Advance(wall_milliseconds by) { context_.leader_time += by; }

  job_table table;

 private:
  apply_context context_;
};

// One command of an attempt: progress, or the result at its end.
struct attempt_step {
  bool is_end;
  std::string base;
  std::string text;
  std::string last;
  stream_origin origin = kOld;
  bool is_restart = false;
};

struct attempt_case {
  std::string name;
  std::vector<attempt_step> steps;
  std::string text;  // Of the result; empty: no result.
};

class item_text_test : public testing::TestWithParam<attempt_case> {};

TEST_P(item_text_test, ContainsEachEventOnce) {
  table_driver driver;
  ASSERT_EQ(driver.Submit(MakeJob("job-1", 1)), job_store_reply_kind::kDone);
  for (const attempt_step& step : GetParam().steps) {
    if (step.is_end) {
      driver.Record(0, step.base, step.text, step.origin, step.is_restart);
    } else {
      driver.Progress(0, step.base, step.text, step.last, step.origin,
                      step.is_restart);
    }
  }
  const job_store_reply read = driver.table.Read(kJob, 0);
  ASSERT_EQ(read.results.size(), GetParam().text.empty() ? 0u : 1u);
  if (!GetParam().text.empty()) {
    EXPECT_EQ(read.results[0].text.text(), GetParam().text);
    EXPECT_EQ(read.results[0].item_id, "item-0");
  }
}

INSTANTIATE_TEST_SUITE_P(
    job_table,
    item_text_test,
    testing::Values(
        attempt_case{"complete_attempt", {{true, "", "a\nb\n", ""}}, "a\nb"},
        attempt_case{"resumed_after_progress",
                     {{false, "", "a\n", "1"}, {true, "1", "b\n", ""}},
                     "a\nb"},
        // A leader whose lease lapsed began the item anew while its earlier
        // progress was still being committed.
        attempt_case{"stale_progress_of_restarted_attempt_is_ignored",
                     {{false, "", "a\nb\n", "2"},
                      {false, "", "a\n", "1"},
                      {true, "2", "c\n", ""}},
                     "a\nb\nc"},
        attempt_case{"result_based_on_older_progress_is_refused",
                     {{false, "", "a\nb\n", "2"}, {true, "", "a\nb\nc\n", ""}},
                     ""},
        attempt_case{"first_result_stands",
                     {{true, "", "a\n", ""}, {true, "", "z\n", ""}},
                     "a"}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    versions,
    item_text_test,
    testing::Values(
        attempt_case{"progress_of_another_version_is_ignored",
                     {{false, "", "a\n", "1"},
                      {false, "1", "z\n", "2", kNew},
                      {true, "1", "b\n", ""}},
                     "a\nb"},
        attempt_case{"progress_of_another_service_is_ignored",
                     {{false, "", "a\n", "1"},
                      {false, "1", "z\n", "2", kOtherService},
                      {true, "1", "b\n", ""}},
                     "a\nb"},
        attempt_case{"result_of_another_version_is_refused",
                     {{false, "", "a\n", "1"}, {true, "1", "z\n", "", kNew}},
                     ""},
        attempt_case{"progress_begins_anew",
                     {{false, "", "a\nb\n", "2"},
                      {false, "2", "x\n", "1", kNew, true},
                      {true, "1", "y\n", "", kNew}},
                     "x\ny"},
        attempt_case{
            "result_begins_anew",
            {{false, "", "a\n", "1"}, {true, "1", "x\ny\n", "", kNew, true}},
            "x\ny"},
        // Leaders whose leases lapsed: one went on with the text that was
        // discarded, one discarded a text that has grown since.
        attempt_case{"late_result_of_the_discarded_text_is_refused",
                     {{false, "", "a\n", "1"},
                      {false, "1", "x\n", "1", kNew, true},
                      {true, "1", "b\n", ""}},
                     ""},
        attempt_case{"late_restart_is_ignored",
                     {{false, "", "a\n", "1"},
                      {false, "1", "b\n", "2"},
                      {false, "1", "x\n", "1", kNew, true},
                      {true, "2", "c\n", ""}},
                     "a\nb\nc"},
        attempt_case{"late_restart_with_result_is_refused",
                     {{false, "", "a\n", "1"},
                      {false, "1", "b\n", "2"},
                      {true, "1", "x\n", "", kNew, true}},
                     ""}),
    [](const auto& info) { return info.param.name; });

TEST(job_table_test, RepeatedSubmissionIsAcknowledgedAndAcceptedOnce) {
  table_driver driver;
  EXPECT_EQ(driver.Submit(MakeJob("job-1", 3)), job_store_reply_kind::kDone);
  EXPECT_EQ(driver.Submit(MakeJob("job-1", 3)), job_store_reply_kind::kDone);
  EXPECT_EQ(driver.table.jobs().size(), 1u);
  EXPECT_EQ(driver.table.WaitingTokens("route"), 300u);
}

TEST(job_table_test,
     WaitingTokensAreLimitedAndReleasedByResultsAndCancellation) {
  table_driver driver;
  EXPECT_EQ(driver.Submit(MakeJob("job-1", 3, 500)),
            job_store_reply_kind::kDone);
  EXPECT_EQ(driver.Submit(MakeJob("job-2", 3, 500)),
            job_store_reply_kind::kOverLimit);
  EXPECT_EQ(driver.Record(0, "", "a\n"), job_store_reply_kind::kDone);
  EXPECT_EQ(driver.Submit(MakeJob("job-2", 3, 500)),
            job_store_reply_kind::kDone);
  EXPECT_EQ(driver.Cancel(), job_store_reply_kind::kDone);
  EXPECT_EQ(driver.table.WaitingTokens("route"), 300u);
  // A result after the cancellation must not release the tokens twice.
  driver.Record(1, "", "b\n");
  EXPECT_EQ(driver.table.WaitingTokens("route"), 300u);
}

TEST(job_table_test, ResultsKeepPositionsAndFinishedItemsLoseTheirBodies) {
  table_driver driver;
  driver.Submit(MakeJob("job-1", 3));
  EXPECT_EQ(driver.table.ReadItem(kJob, "item-2").body, "body-2");
  driver.Record(2, "", "c\n");
  driver.Record(0, "", "a\n");
  const job_store_reply read = driver.table.Read(kJob, 0);
  ASSERT_EQ(read.results.size(), 2u);
  EXPECT_EQ(read.total, 3u);
  EXPECT_EQ(read.results[0].item_id, "item-2");
  EXPECT_EQ(driver.table.Read(kJob, 1).results[0].item_id, "item-0");
  EXPECT_EQ(driver.table.ReadItem(kJob, "item-2").kind,
            job_store_reply_kind::kNotFound);
  EXPECT_EQ(driver.table.ReadItem(kJob, "item-1").kind,
            job_store_reply_kind::kDone);
}

// Commands of several leaders, sent again and late, with snapshots between.
TEST(job_table_test, ItemsStandAtOnePositionWhateverIsProposedAgain) {
  constexpr uint32_t kItems = 6;
  std::mt19937 random(1);
  const auto below = [&random](uint32_t limit) {
    return static_cast<uint32_t>(random() % limit);
  };
  for (int round = 0; round < 200; ++round) {
    table_driver driver;
    driver.Submit(MakeJob("job-1", kItems));
    std::vector<item_result> seen;
    for (int step = 0; step < 80; ++step) {
      const uint32_t item = below(kItems);
      const std::string base = below(2) == 0 ? "" : std::to_string(below(3));
      const std::string text = "text-" + std::to_string(step) + "\n";
      const bool is_restart = below(4) == 0;
      switch (below(5)) {
        case 0:
          driver.Record(item, base, text, kOld, is_restart);
          driver.Record(item, base, text, kOld, is_restart);
          break;
        case 1:
          driver.Progress(item, base, text, std::to_string(below(3)), kOld,
                          is_restart);
          break;
        case 2:
          driver.GiveUp(item);
          break;
        case 3:
          driver.Submit(MakeJob("job-1", kItems));
          break;
        case 4:
          driver.Restore();
          break;
      }
      const auto results = driver.table.Read(kJob, 0).results;
      ASSERT_GE(results.size(), seen.size());
      std::set<std::string> items;
      for (size_t at = 0; at < results.size(); ++at) {
        EXPECT_TRUE(items.insert(results[at].item_id).second);
        if (at < seen.size()) {
          EXPECT_EQ(results[at].item_id, seen[at].item_id);
          EXPECT_EQ(results[at].is_completed, seen[at].is_completed);
          EXPECT_EQ(results[at].text.text(), seen[at].text.text());
        }
      }
      seen = results;
    }
  }
}

TEST(job_table_test, FinishedJobsStayReadableForThreeMinutes) {
  table_driver driver;
  driver.Submit(MakeJob("job-1", 1));
  driver.Record(0, "", "a\n");
  driver.Advance(170'000);
  driver.Submit(MakeJob("job-2", 1));
  EXPECT_EQ(driver.table.Read(kJob, 0).results.size(), 1u);
  driver.Advance(20'000);
  driver.Submit(MakeJob("job-3", 1));
  EXPECT_EQ(driver.table.Read(kJob, 0).kind, job_store_reply_kind::kNotFound);
  EXPECT_NE(driver.table.Find(job_id("job-2")), nullptr);  // It is still open.
}

TEST(job_table_test, SnapshotRestoresJobsProgressAndWaitingTokens) {
  table_driver driver;
  driver.Submit(MakeJob("job-1", 2));
  driver.Progress(1, "", "x\n", "7");
  driver.Record(0, "", "a\n");
  std::ostringstream out;
  ASSERT_TRUE(IsOk(driver.table.BeginSnapshot()->Write(out)));
  job_table copy;
  std::istringstream in(out.str());
  ASSERT_TRUE(IsOk(copy.LoadSnapshot(in)));
  EXPECT_EQ(copy.Read(kJob, 0).results[0].text.text(), "a");
  EXPECT_EQ(copy.Find(kJob)->items[1].last_event, "7");
  EXPECT_EQ(copy.Find(kJob)->items[1].origin, kOld);
  EXPECT_EQ(copy.WaitingTokens("route"), 100u);
}

TEST(job_table_test, MalformedCommandHasNoEffect) {
  job_table table;
  apply_context context;
  table.Apply(context, "no command");
  EXPECT_TRUE(table.jobs().empty());
}

}  // namespace

}  // namespace shallotport
