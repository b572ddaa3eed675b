#include "jobstore/item_dispatcher.h"

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
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

// A clock that a test sets forward.
class shifted_clock_source final : public clock_source {
 public:
  steady_time Now() const override {
    return frozen_at.value_or(clock_.Now()) + steady_offset;
  }
  wall_milliseconds WallNow() const override {
    return clock_.WallNow() + wall_offset.count();
  }

  std::optional<steady_time> frozen_at;
  milliseconds steady_offset{};
  milliseconds wall_offset{};

 private:
  boot_clock_source clock_;
};

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
    ReportSlots(3);
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

  void ReportSlots(uint32_t slots) {
    endpoint_report report;
    report.endpoint = endpoint_id("e");
    report.service = service_id("svc");
    report.ip = "127.0.0.1";
    report.port = endpoint_.port();
    report.slots = slots;
    report.start_time_ms = 1;
    report.software_version = "v1";
    selector_.Update(report);
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

  void Submit(const std::string& id,
              int items,
              uint32_t objective_ms,
              uint32_t retention_ms = 0) {
    job_command command;
    command.kind = job_command_kind::kSubmit;
    command.submission.job = job_id(id);
    command.job = command.submission.job;
    command.submission.host = "h";
    command.submission.objective_ms = objective_ms;
    command.submission.retention_ms = retention_ms;
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
           "\r\nX-Proof: p\r\nContent-Type: text/event-stream"
           "\r\nContent-Length: " +
           std::to_string(events.size()) + "\r\n\r\n" + events;
  }
  static std::string PartialResponse(const std::string& id,
                                     const std::string& events) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Proof: p\r\nContent-Type: text/event-stream"
           "\r\nContent-Length: 999\r\n\r\n" +
           events;
  }

  boost::asio::io_context loop_;
  shifted_clock_source clock_;
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

// A stalled endpoint that sent a byte now and then kept its attempt for ever.
TEST_F(item_dispatcher_test, BytesThatEndNoEventDoNotKeepAnAttempt) {
  boost::asio::steady_timer trickle(loop_);
  std::weak_ptr<raw_connection> stalled;
  std::function<void()> send_byte = [&] {
    trickle.expires_after(milliseconds(10));
    trickle.async_wait([&](boost::system::error_code cancelled) {
      const auto open = stalled.lock();
      if (!cancelled && open != nullptr) {
        open->Write("x");
        send_byte();
      }
    });
  };
  respond_ = [&](raw_connection& connection, const std::string& id,
                 const std::string& request) {
    if (request.find("X-After: 1\r\n") != std::string::npos) {
      connection.Write(CompleteResponse(id, kSecondEvent));
      return;
    }
    connection.Write(PartialResponse(id, std::string(kFirstEvent) + "data: "));
    stalled = connection.weak_from_this();
    send_byte();
  };
  Submit("j", 1, 10'000);
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(table_.Read(job_id("j"), 0).results[0].text.text(), "a\nb");
  EXPECT_EQ(dispatcher_.totals().silent, 1u);
}

// A sound stream was cut if "silent" meant more than that no event ends in
// time.
TEST_F(item_dispatcher_test, SlowStreamOfWholeEventsIsNotCut) {
  std::vector<std::string> parts;
  std::string events;
  for (int i = 1; i <= 6; ++i) {
    const std::string event = "id: " + std::to_string(i) + "\ndata: a\n\n";
    parts.push_back(event.substr(0, 7));
    parts.push_back(event.substr(7));
    events += event;
  }
  std::shared_ptr<raw_connection> stream;
  respond_ = [&](raw_connection& connection, const std::string& id,
                 const std::string&) {
    const std::string whole = CompleteResponse(id, events);
    connection.Write(whole.substr(0, whole.size() - events.size()));
    stream = connection.shared_from_this();
  };
  clock_.frozen_at = clock_.Now();
  Submit("j", 1, 10'000);
  ASSERT_TRUE(RunUntilDone([&] { return stream != nullptr; }));
  for (const std::string& part : parts) {
    clock_.steady_offset += milliseconds(30);
    stream->Write(part);
    RunUntil(
        loop_, [] { return false; }, milliseconds(10));  // Receives it.
    dispatcher_.Tick(clock_.Now(), &routes_);
  }
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(attempted_items_.size(), 1u);
  EXPECT_EQ(dispatcher_.totals().silent, 0u);
}

// A store that was stopped for longer than the silence timeout cut the streams
// of all items, though their events waited to be read.
TEST_F(item_dispatcher_test, StallOfThisProcessIsNoSilence) {
  std::shared_ptr<raw_connection> stream;
  respond_ = [&](raw_connection& connection, const std::string& id,
                 const std::string&) {
    const std::string whole =
        CompleteResponse(id, std::string(kFirstEvent) + kSecondEvent);
    connection.Write(
        whole.substr(0, whole.size() - std::string(kSecondEvent).size()));
    stream = connection.shared_from_this();
  };
  Submit("j", 1, 60'000);
  ASSERT_TRUE(RunUntilDone([&] { return stream != nullptr; }));
  clock_.steady_offset += milliseconds(5'000);
  dispatcher_.Tick(clock_.Now(), &routes_);
  EXPECT_EQ(dispatcher_.totals().silent, 0u);
  stream->Write(kSecondEvent);
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(attempted_items_.size(), 1u);
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

// Guards against items that never begin because the reserve for online requests
// takes the only slot of their service.
TEST_F(item_dispatcher_test, ItemsUseTheOnlySlotOneAfterTheOther) {
  respond_ = [this](raw_connection& connection, const std::string& id,
                    const std::string&) {
    EXPECT_EQ(dispatcher_.running_count(), 1u);
    connection.Write(CompleteResponse(id, kFirstEvent));
  };
  ReportSlots(1);
  Submit("j", 3, 10'000);
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("j") == 3; }));
  EXPECT_EQ(attempted_items_.size(), 3u);
}

// Guards against an item that keeps the only slot from online requests.
TEST_F(item_dispatcher_test, ItemInTheOnlySlotYieldsAndIsResumed) {
  respond_ = [](raw_connection& connection, const std::string& id,
                const std::string& request) {
    const bool is_resumed = request.find("X-After: 1\r\n") != std::string::npos;
    connection.Write(is_resumed ? CompleteResponse(id, kSecondEvent)
                                : PartialResponse(id, kFirstEvent));
  };
  ReportSlots(1);
  Submit("j", 1, 10'000);
  ASSERT_TRUE(RunUntilDone([&] { return attempted_items_.size() == 1; }));
  RunUntil(
      loop_, [] { return false; }, milliseconds(30));  // Receives its event.
  selector_.SetPeerLoad(clock_.Now(), endpoint_id("e"), 1);
  EXPECT_TRUE(RunUntilDone([&] { return dispatcher_.totals().yielded == 1; }));
  EXPECT_EQ(dispatcher_.running_count(), 0u);
  selector_.SetPeerLoad(clock_.Now(), endpoint_id("e"), 0);
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

struct expiry_case {
  std::string name;
  uint32_t retention_ms;
  milliseconds age;  // Of the job.
  bool is_running;
  bool is_given_up;
};

class expired_item_test : public item_dispatcher_test,
                          public testing::WithParamInterface<expiry_case> {};

TEST_P(expired_item_test, IsDeadLetterIfItWaitsPastItsRetention) {
  std::shared_ptr<raw_connection> running;
  respond_ = [&running](raw_connection& connection, const std::string& id,
                        const std::string&) {
    connection.Write("HTTP/1.1 200 OK\r\nX-Id: " + id +
                     "\r\nX-Proof: p\r\nContent-Type: text/event-stream"
                     "\r\nContent-Length: 99999\r\n\r\n");
    running = connection.shared_from_this();
  };
  // Nothing is sent while all slots are occupied.
  selector_.SetPeerLoad(clock_.Now() + std::chrono::seconds(5),
                        endpoint_id("e"), GetParam().is_running ? 0 : 3);
  Submit("j", 1, 10'000, GetParam().retention_ms);
  RunUntilDone([&] { return !GetParam().is_running || running != nullptr; });
  clock_.wall_offset = GetParam().age;
  const steady_time end = clock_.Now() + milliseconds(1'200);
  steady_time next_event_at{};
  int events = 0;
  RunUntilDone([&] {
    if (GetParam().is_running && clock_.Now() >= next_event_at) {
      next_event_at = clock_.Now() + milliseconds(20);
      running->Write("id: " + std::to_string(++events) + "\ndata: b\n\n");
    }
    return ResultCount("j") == 1 || clock_.Now() >= end;
  });
  EXPECT_EQ(dispatcher_.totals().expired, GetParam().is_given_up ? 1u : 0u);
  ASSERT_EQ(ResultCount("j"), GetParam().is_given_up ? 1u : 0u);
  if (GetParam().is_given_up) {
    EXPECT_FALSE(table_.Read(job_id("j"), 0).results[0].is_completed);
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    expired_item_test,
    testing::Values(expiry_case{"past_its_retention", 60'000,
                                milliseconds(76'000), false, true},
                    expiry_case{"within_the_margin_for_clocks", 60'000,
                                milliseconds(70'000), false, false},
                    expiry_case{"without_a_retention", 0, milliseconds(900'000),
                                false, false},
                    expiry_case{"running", 60'000, milliseconds(76'000), true,
                                false}),
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

// An item whose text begins at endpoint "e" of version v1, which then leaves.
// Endpoint "f" runs v2, and "g" v1. Each event names its version.
class item_versions_test : public item_dispatcher_test {
 protected:
  static constexpr uint32_t kSlots = 3;
  static constexpr const char* kOldVersion = "v1";
  static constexpr const char* kNewVersion = "v2";

  item_versions_test() {
    respond_ = [this](raw_connection& connection, const std::string& id,
                      const std::string& request) {
      const std::string endpoint = EndpointOf(request);
      const std::string& version = versions_.at(endpoint);
      ++attempts_at_[endpoint];
      if (endpoint == "e") {
        connection.Write(IsResumed(request)
                             ? kNotRun
                             : PartialResponse(id, Event(1, version)));
      } else {
        connection.Write(CompleteResponse(
            id, IsResumed(request) ? Event(2, version)
                                   : Event(1, version) + Event(2, version)));
      }
    };
    AddEndpoint("e", kOldVersion);
  }

  static constexpr const char* kNotRun =
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

  static std::string Event(int number, const std::string& version) {
    return "id: " + std::to_string(number) + "\ndata: " + version + "." +
           std::to_string(number) + "\n\n";
  }
  static std::string EndpointOf(const std::string& request) {
    const size_t at = request.find("X-Expected: ") + 12;
    return request.substr(at, request.find('\r', at) - at);
  }
  static bool IsResumed(const std::string& request) {
    return request.find("X-After: 1\r\n") != std::string::npos;
  }

  void AddEndpoint(const std::string& id,
                   const std::string& version,
                   uint32_t load = 0,
                   uint64_t start_time_ms = 1) {
    versions_[id] = version;
    endpoint_report report;
    report.endpoint = endpoint_id(id);
    report.service = service_id("svc");
    report.ip = "127.0.0.1";
    report.port = endpoint_.port();
    report.slots = kSlots;
    report.start_time_ms = start_time_ms;
    report.software_version = version;
    selector_.Update(report);
    // Does not fade during the test.
    selector_.SetPeerLoad(clock_.Now() + std::chrono::seconds(5),
                          report.endpoint, load);
  }

  // The first event of job "j" is known to this leader only.
  void BeginText() {
    ASSERT_TRUE(RunUntilDone([&] { return attempted_items_.size() == 1; }));
    RunUntil(
        loop_, [] { return false; }, milliseconds(30));
  }
  // It was committed by an earlier leader.
  void CommitText(const stream_origin& origin) {
    job_command command;
    command.kind = job_command_kind::kProgress;
    command.progress = {{job_id("j"), {{0, "", "v1.1\n", "1", origin}}}};
    Commit(command, [](commit_outcome) {});
  }
  void RemoveFirstEndpoint() { selector_.Remove(endpoint_id("e")); }

  std::string Text(const std::string& id) {
    return table_.Read(job_id(id), 0).results.at(0).text.text();
  }
  const job_table::item_state& Item() {
    return table_.Find(job_id("j"))->items[0];
  }

  std::map<std::string, std::string> versions_;
  std::map<std::string, int> attempts_at_;
};

constexpr uint32_t kInTime = 10'000;
constexpr uint32_t kLate = 1;
constexpr const char* kResumedText = "v1.1\nv1.2";
constexpr const char* kNewText = "v2.1\nv2.2";

struct version_case {
  std::string name;
  bool is_committed;
  std::string service;  // Where the committed text began.
  std::optional<uint32_t> load_of_same_version;  // None: no such endpoint.
  uint32_t objective_ms;
  std::string text;
};

void PrintTo(const version_case& each, std::ostream* out) {
  *out << each.name;
}

class item_texts : public item_versions_test,
                   public testing::WithParamInterface<version_case> {};

TEST_P(item_texts, AreOfOneSoftwareVersion) {
  const version_case& each = GetParam();
  Submit("j", 1, each.objective_ms);
  if (each.is_committed) {
    CommitText({service_id(each.service), kOldVersion});
  } else {
    BeginText();
  }
  RemoveFirstEndpoint();
  AddEndpoint("f", kNewVersion);
  if (each.load_of_same_version) {
    AddEndpoint("g", kOldVersion, *each.load_of_same_version);
  }
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(Text("j"), each.text);
  EXPECT_EQ(dispatcher_.totals().restarted, each.text == kNewText ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    item_texts,
    testing::Values(
        version_case{"same_version", false, "", 2, kInTime, kResumedText},
        version_case{"version_gone", false, "", {}, kInTime, kNewText},
        version_case{"same_version_late", false, "", 2, kLate, kResumedText},
        version_case{"version_busy_late", false, "", 3, kLate, kNewText},
        version_case{"committed_same_version", true, "svc", 2, kInTime,
                     kResumedText},
        version_case{"committed_version_gone",
                     true,
                     "svc",
                     {},
                     kInTime,
                     kNewText},
        version_case{"committed_version_busy_late", true, "svc", 3, kLate,
                     kNewText},
        version_case{"committed_service_not_allowed",
                     true,
                     "other",
                     {},
                     kInTime,
                     kNewText}),
    [](const auto& info) { return info.param.name; });

TEST_F(item_versions_test, ItemWaitsForItsVersionWithoutHoldingUpOthers) {
  Submit("j", 1, kInTime);
  CommitText({service_id("svc"), kOldVersion});
  RemoveFirstEndpoint();
  AddEndpoint("f", kNewVersion);
  AddEndpoint("g", kOldVersion, kSlots);
  Submit("k", 5, 2 * kInTime);
  EXPECT_TRUE(RunUntilDone([&] { return ResultCount("k") == 5; }));
  EXPECT_EQ(ResultCount("j"), 0u);
  selector_.SetPeerLoad(clock_.Now(), endpoint_id("g"), 0);
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(Text("j"), kResumedText);
}

// The first answer comes from a later start of the endpoint, which runs another
// version than the one that was selected.
TEST_F(item_versions_test, EndpointThatStartedAgainDoesNotBeginText) {
  respond_ = [this](raw_connection& connection, const std::string& id,
                    const std::string& request) {
    if (attempted_items_.size() == 1) {
      AddEndpoint("e", kNewVersion, 0, 2);
      connection.Write(PartialResponse(id, Event(1, kNewVersion)));
      return;
    }
    const std::string& version = versions_.at(EndpointOf(request));
    connection.Write(CompleteResponse(
        id, IsResumed(request) ? Event(2, version)
                               : Event(1, version) + Event(2, version)));
  };
  Submit("j", 1, kInTime);
  BeginText();
  AddEndpoint("g", kOldVersion);
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_TRUE(Text("j") == kNewText || Text("j") == kResumedText) << Text("j");
}

// Earlier builds committed texts without the number of their last event.
TEST_F(item_versions_test, TextWithoutALastEventBeginsAnew) {
  Submit("j", 1, kInTime);
  job_command command;
  command.kind = job_command_kind::kProgress;
  command.progress = {
      {job_id("j"), {{0, "", "v1.1\n", "", {service_id("svc"), kOldVersion}}}}};
  Commit(command, [](commit_outcome) {});
  RemoveFirstEndpoint();
  AddEndpoint("g", kOldVersion);
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(Text("j"), kResumedText);
  EXPECT_EQ(dispatcher_.totals().restarted, 1u);
}

struct faulty_text_case {
  std::string name;
  std::string response;  // To a resumption after event 1; "ID" is the item's.
  uint64_t unusable_heads;
  uint64_t events_out_of_order;
};

void PrintTo(const faulty_text_case& each, std::ostream* out) {
  *out << each.name;
}

class faulty_texts : public item_versions_test,
                     public testing::WithParamInterface<faulty_text_case> {};

TEST_P(faulty_texts, LeaveTheItemWhatItHad) {
  int resumptions = 0;
  respond_ = [&](raw_connection& connection, const std::string& id,
                 const std::string& request) {
    ASSERT_TRUE(IsResumed(request));
    if (resumptions++ > 0) {
      connection.Write(CompleteResponse(id, Event(2, kOldVersion)));
      return;
    }
    std::string response = GetParam().response;
    connection.Write(response.replace(response.find("ID"), 2, id));
  };
  Submit("j", 1, kInTime);
  CommitText({service_id("svc"), kOldVersion});
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(Text("j"), kResumedText);
  EXPECT_EQ(dispatcher_.totals().unusable_heads, GetParam().unusable_heads);
  EXPECT_EQ(dispatcher_.totals().events_out_of_order,
            GetParam().events_out_of_order);
}

const std::string kNamedHead = "\r\nX-Id: ID\r\nContent-Length: 17\r\n";
const std::string kStreamHead =
    kNamedHead + "X-Proof: p\r\nContent-Type: text/event-stream\r\n";
const std::string kBadText = "\r\nid: 2\ndata: bad\n\n";

INSTANTIATE_TEST_SUITE_P(
    table,
    faulty_texts,
    testing::Values(
        faulty_text_case{"partial_content",
                         "HTTP/1.1 206 OK" + kStreamHead + kBadText, 1, 0},
        faulty_text_case{"without_proof",
                         "HTTP/1.1 200 OK" + kNamedHead +
                             "Content-Type: text/event-stream\r\n" + kBadText,
                         1, 0},
        faulty_text_case{"another_kind",
                         "HTTP/1.1 200 OK" + kNamedHead +
                             "X-Proof: p\r\nContent-Type: text/plain\r\n" +
                             kBadText,
                         1, 0},
        faulty_text_case{
            "not_executed",
            "HTTP/1.1 200 OK" + kStreamHead + "X-Not-Run: 1\r\n" + kBadText, 1,
            0},
        faulty_text_case{
            "leaves_one_out",
            "HTTP/1.1 200 OK" + kStreamHead + "\r\nid: 3\ndata: bad\n\n", 0, 1},
        faulty_text_case{
            "begins_anew",
            "HTTP/1.1 200 OK" + kStreamHead + "\r\nid: 1\ndata: bad\n\n", 0,
            1}),
    [](const auto& info) { return info.param.name; });

TEST_F(item_versions_test, TextThatBeganAnewIsResumedByTheNextLeader) {
  bool is_led_anew = false;
  respond_ = [&](raw_connection& connection, const std::string& id,
                 const std::string& request) {
    connection.Write(!IsResumed(request) ? PartialResponse(id, Event(1, "v2"))
                     : is_led_anew       ? CompleteResponse(id, Event(2, "v2"))
                                         : kNotRun);
  };
  Submit("j", 1, kInTime);
  CommitText({service_id("svc"), kOldVersion});
  RemoveFirstEndpoint();
  AddEndpoint("f", kNewVersion);
  EXPECT_TRUE(RunUntilDone([&] {
    return Item().origin == stream_origin{service_id("svc"), kNewVersion};
  }));
  dispatcher_.SetLeading(false);
  dispatcher_.SetLeading(true);
  is_led_anew = true;
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(Text("j"), kNewText);
}

TEST_F(item_versions_test, TextDoesNotBeginAnewWhileItsProgressIsCommitted) {
  Submit("j", 1, kInTime);
  BeginText();
  holds_commands_ = true;
  ASSERT_TRUE(RunUntilDone([&] { return held_commands_.size() == 1; }));
  RemoveFirstEndpoint();
  AddEndpoint("f", kNewVersion);
  RunUntil(
      loop_,
      [&] {
        dispatcher_.Tick(clock_.Now(), &routes_);
        return false;
      },
      milliseconds(300));
  EXPECT_EQ(attempts_at_["f"], 0);
  holds_commands_ = false;
  Commit(held_commands_[0].first, held_commands_[0].second);
  ASSERT_TRUE(RunUntilDone([&] { return ResultCount("j") == 1; }));
  EXPECT_EQ(Text("j"), kNewText);
}

}  // namespace

}  // namespace shallotport
