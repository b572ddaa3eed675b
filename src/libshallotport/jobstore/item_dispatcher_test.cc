#include "jobstore/item_dispatcher.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/codec.h"
#include "eventio/boot_clock.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using commit_outcome = item_dispatcher::commit_outcome;

// A dispatcher with one scripted endpoint. Commands are applied at once, or
// held until the test commits or loses them.
class item_dispatcher_test : public testing::Test {
 protected:
  using script = std::function<void(raw_connection& connection,
                                    const std::string& id,
                                    const std::string& request)>;

  item_dispatcher_test()
      : endpoint_(
            loop_,
            [this](raw_connection& connection, const std::string& request) {
              const size_t at = request.find("X-Id: ") + 6;
              const std::string id =
                  request.substr(at, request.find('\r', at) - at);
              attempted_items_.push_back(id);
              respond_(connection, id, request);
            }),
        selector_({domain_id("a"), 0, 1}),
        log_(clock_, "test"),
        dispatcher_(loop_,
                    clock_,
                    Options(),
                    table_,
                    selector_,
                    log_,
                    [this](const job_command& command, auto done) {
                      if (holds_commands_) {
                        held_commands_.emplace_back(command, std::move(done));
                      } else {
                        Commit(command, done);
                      }
                    }) {
    endpoint_report report;
    report.endpoint = endpoint_id("e");
    report.service = service_id("svc");
    report.ip = "127.0.0.1";
    report.port = endpoint_.port();
    report.slots = 3;
    report.start_time_ms = 1;
    selector_.Update(report);
    table_.on_changed = [this](const job_id& job) {
      dispatcher_.OnJobChanged(job);
    };
    route_configuration configuration;
    route batch_route;
    batch_route.name = "r";
    batch_route.host = "h";
    batch_route.prefix = "/";
    batch_route.kind = request_kind::kBatch;
    batch_route.services = {{service_id("svc"), 1}};
    configuration.routes = {batch_route};
    routes_ = route_table(configuration);
    dispatcher_.SetLeading(true);
  }

  static item_dispatcher::options Options() {
    item_dispatcher::options options;
    options.wire.request_id = "X-Id";
    options.wire.endpoint_proof = "X-Proof";
    options.wire.expected_endpoint = "X-Expected";
    options.wire.not_executed = "X-Not-Run";
    options.wire.resume_after = "X-After";
    options.silence_timeout = milliseconds(120);
    return options;
  }

  void Commit(const job_command& command,
              const std::function<void(commit_outcome)>& done) {
    apply_context context;
    context.index = ++index_;
    context.leader_time = clock_.WallNow();
    const auto reply = Decode<job_store_reply>(
        table_.Apply(context, EncodeJobCommand(command)));
    done(ValueOf(reply).kind == job_store_reply_kind::kConflict
             ? commit_outcome::kRefused
             : commit_outcome::kCommitted);
  }

  void Submit(const std::string& id, int items, uint32_t objective_ms) {
    job_command command;
    command.kind = job_command_kind::kSubmit;
    command.submission.job = job_id(id);
    command.job = command.submission.job;
    command.submission.host = "h";
    command.submission.objective_ms = objective_ms;
    command.submission.max_failures = 2;
    for (int i = 0; i < items; ++i) {
      job_item item;
      item.id = id + "-" + std::to_string(i);
      item.path = "/p";
      command.submission.items.push_back(std::move(item));
    }
    Commit(command, [](commit_outcome) {});
  }

  bool RunUntilDone(const std::function<bool()>& is_done) {
    return RunUntil(loop_, [&] {
      dispatcher_.Tick(clock_.Now(), &routes_);
      return is_done();
    });
  }
  size_t ResultCount(const std::string& id) {
    return table_.Read(job_id(id), 0).results.size();
  }

  static std::string CompleteResponse(const std::string& id,
                                      const std::string& events) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Proof: p\r\nContent-Length: " +
           std::to_string(events.size()) + "\r\n\r\n" + events;
  }
  static std::string PartialResponse(const std::string& id,
                                     const std::string& events) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Proof: p\r\nContent-Length: 999\r\n\r\n" + events;
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  script respond_;
  std::vector<std::string> attempted_items_;
  scripted_endpoint endpoint_;
  job_table table_;
  endpoint_selector selector_;
  decision_log log_;
  bool holds_commands_ = false;
  std::deque<std::pair<job_command, std::function<void(commit_outcome)>>>
      held_commands_;
  log_index index_ = 0;
  std::shared_ptr<raw_connection> second_attempt_;  // Of the second attempt.
  route_table routes_;
  item_dispatcher dispatcher_;
};

constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";

TEST_F(item_dispatcher_test, SilentAttemptIsResumedAfterItsLastEvent) {
  respond_ = [](raw_connection& connection, const std::string& id,
                const std::string& request) {
    const bool is_resumed = request.find("X-After: 1\r\n") != std::string::npos;
    connection.Write(is_resumed ? CompleteResponse(id, kSecondEvent)
                                : PartialResponse(id, kFirstEvent));
  };
  Submit("j", 1, 10'000);
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(table_.Read(job_id("j"), 0).results[0].text.text(), "a\nb");
  EXPECT_EQ(attempted_items_.size(), 2u);
  EXPECT_EQ(dispatcher_.totals().silent, 1u);
}

TEST_F(item_dispatcher_test, AttemptsYieldToOnlineRequestsAndAreResumed) {
  respond_ = [](raw_connection& connection, const std::string& id,
                const std::string& request) {
    const bool is_resumed = request.find("X-After: 1\r\n") != std::string::npos;
    connection.Write(is_resumed ? CompleteResponse(id, kSecondEvent)
                                : PartialResponse(id, kFirstEvent));
  };
  Submit("j", 1, 10'000);
  ASSERT_TRUE(RunUntilDone([&] { return attempted_items_.size() == 1; }));
  RunUntil(
      loop_, [] { return false; }, milliseconds(30));  // Receives its event.
  selector_.SetPeerLoad(clock_.Now(), endpoint_id("e"), 3);
  EXPECT_TRUE(RunUntilDone([&] { return dispatcher_.totals().yielded == 1; }));
  EXPECT_EQ(dispatcher_.running_count(), 0u);
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(table_.Read(job_id("j"), 0).results[0].text.text(), "a\nb");
}

// A result that was proposed before leadership was lost may be committed after
// this host leads again and has begun a second attempt. The second attempt must
// be aborted and must not record another result.
TEST_F(item_dispatcher_test,
       ResultCommittedAfterReelectionAbortsSecondAttempt) {
  respond_ = [this](raw_connection& connection, const std::string& id,
                    const std::string&) {
    if (attempted_items_.size() == 1) {
      connection.Write(CompleteResponse(id, kFirstEvent));
      return;
    }
    connection.Write(PartialResponse(id, kFirstEvent));
    second_attempt_ = connection.shared_from_this();
  };
  holds_commands_ = true;
  Submit("j", 1, 10'000);
  ASSERT_TRUE(RunUntilDone([&] { return held_commands_.size() == 1; }));
  dispatcher_.SetLeading(false);
  dispatcher_.SetLeading(true);
  ASSERT_TRUE(RunUntilDone([&] { return second_attempt_ != nullptr; }));
  Commit(held_commands_[0].first, held_commands_[0].second);
  second_attempt_->Write(kSecondEvent);
  RunUntilDone([&] { return second_attempt_->is_ended; });
  EXPECT_EQ(ResultCount("j"), 1u);
  EXPECT_EQ(dispatcher_.running_count(), 0u);
}

TEST_F(item_dispatcher_test,
       ProposalWithUnknownOutcomeIsDiscardedAndItemRetried) {
  respond_ = [](raw_connection& connection, const std::string& id,
                const std::string&) {
    connection.Write(CompleteResponse(id, kFirstEvent));
  };
  holds_commands_ = true;
  Submit("j", 1, 10'000);
  ASSERT_TRUE(RunUntilDone([&] { return held_commands_.size() == 1; }));
  held_commands_[0].second(commit_outcome::kUnknown);
  holds_commands_ = false;
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(table_.Read(job_id("j"), 0).results[0].text.text(), "a");
}

struct failure_case {
  std::string name;
  std::string response;
  size_t attempts;  // Until the item is a dead letter; 0: never.
};

class failed_item_test : public item_dispatcher_test,
                         public testing::WithParamInterface<failure_case> {};

TEST_P(failed_item_test, IsDeadLetterOnlyAfterFinalFailure) {
  respond_ = [](raw_connection& connection, const std::string&,
                const std::string&) {
    connection.Write("HTTP/1.1 " + GetParam().response +
                     "\r\nContent-Length: 0\r\n\r\n");
  };
  Submit("j", 1, 10'000);
  const bool is_permanent_failure = GetParam().attempts > 0;
  if (is_permanent_failure) {
    EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
    EXPECT_FALSE(table_.Read(job_id("j"), 0).results[0].is_completed);
    EXPECT_EQ(attempted_items_.size(), GetParam().attempts);
  } else {
    EXPECT_TRUE(RunUntilDone([&] { return attempted_items_.size() >= 3; }));
    EXPECT_EQ(ResultCount("j"), 0u);
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    failed_item_test,
    testing::Values(failure_case{"unprocessable", "422 No", 1},
                    failure_case{"fails_at_each_execution", "500 Oops", 2},
                    failure_case{"shed", "503 Full\r\nX-Not-Run: 1", 0},
                    failure_case{"other_endpoint", "429 Later\r\nX-Not-Run: 1",
                                 0}),
    [](const auto& info) { return info.param.name; });

// After an outage, jobs that can no longer meet their deadline wait together
// with jobs that can. One slot at a time is free for batch items.
TEST_F(item_dispatcher_test, ItemsThatCanMeetTheirDeadlineAreSentFirst) {
  respond_ = [](raw_connection& connection, const std::string& id,
                const std::string&) {
    connection.Write(CompleteResponse(id, kFirstEvent));
  };
  selector_.SetPeerLoad(clock_.Now() + std::chrono::seconds(5),
                        endpoint_id("e"), 1);
  Submit("late", 3, 1);
  Submit("sooner", 2, 30'000);
  Submit("later", 1, 60'000);
  EXPECT_TRUE(RunUntilDone([&] { return attempted_items_.size() == 6; }));
  EXPECT_EQ(attempted_items_,
            (std::vector<std::string>{"sooner-0", "sooner-1", "later-0",
                                      "late-0", "late-1", "late-2"}));
}

}  // namespace

}  // namespace shallotport
