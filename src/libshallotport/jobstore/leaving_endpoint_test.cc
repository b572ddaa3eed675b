#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "base/codec.h"
#include "entry/entry_duty.h"
#include "eventio/boot_clock.h"
#include "eventio/loopback_test_util.h"
#include "jobstore/item_dispatcher.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr const char* kLeaving = "X-Leaving: 1\r\n";
constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
constexpr const char* kLastEvent = "id: 2\ndata: b\n\n";
constexpr uint32_t kSlots = 8;
constexpr uint32_t kMostSlots = 5;

// A host that sends online requests and batch items to three endpoints, of
// which "e" will leave: it says so in its responses, and its reports never do.
class leaving_endpoint_test : public testing::Test {
 protected:
  using script = std::function<void(raw_connection& connection,
                                    const std::string& request)>;

  struct stand_in {
    stand_in(boost::asio::io_context& loop, const std::string& name)
        : server(loop, [this](auto& connection, const std::string& request) {
            last = connection.shared_from_this();
            respond(connection, request);
          }) {
      report.endpoint = endpoint_id(name);
      report.service = service_id("svc");
      report.ip = "127.0.0.1";
      report.port = server.port();
      report.domain = domain_id(name == "e" ? "a" : "b");
      report.slots = kSlots;
      report.start_time_ms = 1;
    }

    script respond = Answer("200 OK", "", kLastEvent);
    std::shared_ptr<raw_connection> last;  // With the latest request.
    scripted_endpoint server;
    endpoint_report report;
  };

  leaving_endpoint_test()
      : log_(clock_, "test"),
        duty_(loop_, clock_, {{domain_id("a"), 2, 1}, Wire(), 1}, log_),
        dispatcher_(loop_,
                    clock_,
                    {Wire(), 0.04, std::chrono::seconds(3), 1},
                    table_,
                    duty_.selector(),
                    log_,
                    [this](const job_command& command, const auto& done) {
                      Commit(command);
                      done(item_dispatcher::commit_outcome::kCommitted);
                    }),
        listener_(loop_, clock_, [this](auto request, auto exchange) {
          caller_request online;
          online.id = request_id(std::string(request.headers.Value("X-Id")));
          online.wire = std::move(request);
          const route* matched = duty_.routes()->Match("h", "/");
          duty_.Serve(*matched, std::move(online), std::move(exchange));
        }) {
    route_configuration configuration;
    configuration.version = 1;
    route& streams = configuration.routes.emplace_back();
    streams.name = "r";
    streams.host = "h";
    streams.prefix = "/";
    streams.kind = request_kind::kStreaming;
    streams.is_resumable = true;
    streams.max_executions = 3;
    streams.timeout = std::chrono::seconds(20);
    streams.objective = std::chrono::seconds(1);
    streams.services = {{service_id("svc"), 1}};
    routes_ = route_table(configuration);
    duty_.SetRoutes(configuration);
    duty_.request_slot = [this](
                             const queued_slot_request&, bool,
                             const auto& on_reply) -> std::optional<uint64_t> {
      if (!holds_slot_) {
        return std::nullopt;
      }
      on_slot_ = on_reply;
      return 1;
    };
    for (const stand_in* each : {&leaving_, &other_, &first_}) {
      duty_.UpdateEndpoint({each->report, clock_.Now()});
    }
    boost::asio::ip::tcp::acceptor probe(
        loop_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    port_ = probe.local_endpoint().port();
    probe.close();
    EXPECT_TRUE(IsOk(listener_.Listen("127.0.0.1", port_)));
    dispatcher_.SetLeading(true);
  }

  static wire_profile Wire() {
    wire_profile wire;
    wire.request_id = "X-Id";
    wire.time_limit_ms = "X-Limit";
    wire.endpoint_proof = "X-Proof";
    wire.expected_endpoint = "X-Expected";
    wire.not_executed = "X-Not-Run";
    wire.resume_after = "X-After";
    wire.retry_after = "X-Retry";
    wire.leaving = "X-Leaving";
    return wire;
  }

  // A response up to an event, complete unless it is a stream that goes on. One
  // that resumes has no first event.
  static script Answer(const std::string& status,
                       const std::string& headers,
                       const std::string& event,
                       bool is_complete = true) {
    return [=](raw_connection& connection, const std::string& request) {
      const size_t at = request.find("X-Id: ");
      const std::string id = request.substr(at, request.find('\r', at) - at);
      const size_t rest = is_complete ? 0 : std::string(kLastEvent).size();
      const bool has_first =
          event == kLastEvent && request.find("X-After: ") == std::string::npos;
      const std::string events = has_first ? kFirstEvent + event : event;
      connection.Write(
          "HTTP/1.1 " + status + "\r\n" + id + "\r\n" + headers +
          "X-Proof: p\r\nContent-Type: text/event-stream\r\n" +
          "Content-Length: " + std::to_string(events.size() + rest) +
          "\r\n\r\n" + events);
    };
  }

  void Commit(const job_command& command) {
    apply_context context;
    context.index = ++index_;
    context.leader_time = clock_.WallNow();
    table_.Apply(context, EncodeJobCommand(command));
  }

  // Only this endpoint has free slots; "other" may have a few as well.
  void Prefer(const stand_in& endpoint, uint32_t load_of_other = kSlots) {
    for (const stand_in* each : {&leaving_, &other_, &first_}) {
      const endpoint_id& id = each->report.endpoint;
      const uint32_t load = each == &endpoint ? 0
                            : each == &other_ ? load_of_other
                                              : kSlots;
      const uint32_t own = duty_.selector().OwnLoad(id);
      duty_.selector().SetPeerLoad(clock_.Now(), id,
                                   load - std::min(own, load));
    }
  }

  std::shared_ptr<raw_connection> Call() {
    auto caller = ConnectRaw(loop_, "127.0.0.1", port_);
    caller->Write("GET / HTTP/1.1\r\nHost: h\r\nX-Id: q" +
                  std::to_string(++calls_) + "\r\n\r\n");
    return caller;
  }
  job_id Submit() {
    job_command command;
    command.job = job_id("j" + std::to_string(++calls_));
    command.submission.job = command.job;
    command.submission.host = "h";
    command.submission.objective_ms = 10'000;
    command.submission.max_failures = 2;
    job_item& item = command.submission.items.emplace_back();
    item.id = command.job.text();
    item.path = "/";
    Commit(command);
    return command.job;
  }

  bool Until(const std::function<bool()>& is_done) {
    return RunUntil(loop_, [&] {
      dispatcher_.Tick(clock_.Now(), &routes_);
      return is_done();
    });
  }
  void AwaitEndOfBackoff() {
    EXPECT_TRUE(Until([&] {
      return duty_.selector()
          .EndpointsInBackoff(clock_.Now(), service_id("svc"))
          .empty();
    }));
  }
  bool Receives(const std::shared_ptr<raw_connection>& caller,
                const char* text) {
    return Until(
        [&] { return caller->received.find(text) != std::string::npos; });
  }
  bool IsFinished(const job_id& job) {
    return Until([&] { return !table_.Find(job)->results.empty(); });
  }
  bool HasProgress(const job_id& job) {
    return Until(
        [&] { return !table_.Find(job)->items[0].last_event.empty(); });
  }

  boost::asio::io_context loop_;
  boot_clock_source clock_;
  decision_log log_;
  stand_in leaving_{loop_, "e"};
  stand_in other_{loop_, "f"};
  stand_in first_{loop_, "g"};
  job_table table_;
  route_table routes_;
  entry_duty duty_;
  item_dispatcher dispatcher_;
  uint16_t port_ = 0;
  http_listener listener_;
  bool holds_slot_ = false;
  entry_duty::slot_reply_handler on_slot_;
  std::shared_ptr<raw_connection> caller_;
  job_id job_;
  log_index index_ = 0;
  int calls_ = 0;
};

// How a request finds its endpoint: `begin` stops short of the selection that
// chooses the leaving endpoint, and `proceed` lets the request select.
struct request_way {
  const char* name;
  bool is_batch;
  void (*begin)(class request_ways& test);
  void (*proceed)(class request_ways& test);
};

// When the endpoint says that it leaves.
enum class notice_time { kBefore, kDuring, kAfter };

class request_ways
    : public leaving_endpoint_test,
      public testing::WithParamInterface<std::tuple<request_way, notice_time>> {
 public:
  static void BeginNothing(request_ways&) {}
  static void ProceedWithCall(request_ways& test) {
    test.caller_ = test.Call();
  }
  static void ProceedWithItem(request_ways& test) { test.job_ = test.Submit(); }

  static void BeginWaitForSlot(request_ways& test) {
    test.Prefer(test.leaving_);
    test.holds_slot_ = true;
    test.on_slot_ = nullptr;
    test.caller_ = test.Call();
    EXPECT_TRUE(test.Until([&] { return test.on_slot_ != nullptr; }));
    test.holds_slot_ = false;
  }
  static void ProceedWithGrant(request_ways& test) {
    test.on_slot_({slot_reply_kind::kGranted, endpoint_id("e"), 0});
  }

  static void BeginElsewhere(request_ways& test) {
    test.Prefer(test.first_);
    test.first_.respond = [](auto&, const std::string&) {};
    const size_t known = test.first_.server.requests.size();
    test.caller_ = test.Call();
    EXPECT_TRUE(
        test.Until([&] { return test.first_.server.requests.size() > known; }));
  }
  static void ProceedAfterRefusal(request_ways& test) {
    Answer("503 Full", "X-Not-Run: 1\r\n", "")(
        *test.first_.last, test.first_.server.requests.back());
  }

  static void ProceedWithSecondAttempt(request_ways& test) {
    // Ticks that are far apart would show a stall of the host itself.
    const steady_time now = test.clock_.Now();
    for (int ms = 0; ms <= 700; ms += 100) {
      test.duty_.Tick(now + std::chrono::milliseconds(ms));
    }
  }

  static void BeginStreamElsewhere(request_ways& test) {
    test.Prefer(test.first_);
    test.first_.respond = Answer("200 OK", "", kFirstEvent, false);
    test.caller_ = test.Call();
    EXPECT_TRUE(test.Receives(test.caller_, kFirstEvent));
  }
  static void BeginItemElsewhere(request_ways& test) {
    test.Prefer(test.first_);
    test.first_.respond = Answer("200 OK", "", kFirstEvent, false);
    test.job_ = test.Submit();
    EXPECT_TRUE(test.HasProgress(test.job_));
  }
  static void ProceedAfterBreak(request_ways& test) {
    test.first_.last->Close();
  }

 protected:
  // The endpoint says in the response to another request that it leaves.
  void SayLeaving(bool is_batch, bool is_complete) {
    const char* event = is_complete ? kLastEvent : kFirstEvent;
    leaving_.respond = Answer("200 OK", kLeaving, event, is_complete);
    Prefer(leaving_);
    if (is_batch) {
      other_job_ = Submit();
      EXPECT_TRUE(is_complete ? IsFinished(other_job_)
                              : HasProgress(other_job_));
    } else {
      other_caller_ = Call();
      EXPECT_TRUE(Receives(other_caller_, event));
    }
    leaving_.respond = Answer("200 OK", kLeaving, kLastEvent);
  }
  bool IsServed(bool is_batch) {
    return is_batch ? IsFinished(job_) : Receives(caller_, kLastEvent);
  }

  std::shared_ptr<raw_connection> other_caller_;
  job_id other_job_;
};

TEST_P(request_ways, LeadToNoLeavingEndpoint) {
  const auto& [way, time] = GetParam();
  if (time == notice_time::kBefore) {
    SayLeaving(way.is_batch, true);
  }
  way.begin(*this);
  if (time == notice_time::kDuring) {
    SayLeaving(way.is_batch, false);
  }
  if (time == notice_time::kAfter) {
    leaving_.respond = Answer("200 OK", kLeaving, kLastEvent);
    Prefer(leaving_);
    way.proceed(*this);
    EXPECT_TRUE(IsServed(way.is_batch));
    EXPECT_EQ(leaving_.server.requests.size(), 1u);
    AwaitEndOfBackoff();
    way.begin(*this);
  }
  Prefer(leaving_, kMostSlots);
  way.proceed(*this);
  EXPECT_TRUE(IsServed(way.is_batch));
  EXPECT_EQ(leaving_.server.requests.size(), 1u);
  EXPECT_GE(other_.server.requests.size(), 1u);
  if (time == notice_time::kDuring) {
    leaving_.last->Write(kLastEvent);
    EXPECT_TRUE(way.is_batch ? IsFinished(other_job_)
                             : Receives(other_caller_, kLastEvent));
  }
}

constexpr request_way kWays[] = {
    {"own_selection", false, request_ways::BeginNothing,
     request_ways::ProceedWithCall},
    {"granted_slot", false, request_ways::BeginWaitForSlot,
     request_ways::ProceedWithGrant},
    {"retry", false, request_ways::BeginElsewhere,
     request_ways::ProceedAfterRefusal},
    {"second_attempt", false, request_ways::BeginElsewhere,
     request_ways::ProceedWithSecondAttempt},
    {"resume", false, request_ways::BeginStreamElsewhere,
     request_ways::ProceedAfterBreak},
    {"batch_item", true, request_ways::BeginNothing,
     request_ways::ProceedWithItem},
    {"resumed_batch_item", true, request_ways::BeginItemElsewhere,
     request_ways::ProceedAfterBreak}};

std::string CaseName(
    const testing::TestParamInfo<std::tuple<request_way, notice_time>>& info) {
  constexpr const char* kTimes[] = {"before", "during", "after"};
  return std::string(std::get<0>(info.param).name) + "_" +
         kTimes[static_cast<size_t>(std::get<1>(info.param))];
}

INSTANTIATE_TEST_SUITE_P(table,
                         request_ways,
                         testing::Combine(testing::ValuesIn(kWays),
                                          testing::Values(notice_time::kBefore,
                                                          notice_time::kDuring,
                                                          notice_time::kAfter)),
                         CaseName);

// The responses in which an endpoint may say that it leaves.
struct notice_case {
  const char* name;
  const char* status;
  const char* headers;
  bool is_complete;
  bool does_caller_leave;
};

class response_forms : public leaving_endpoint_test,
                       public testing::WithParamInterface<notice_case> {};

TEST_P(response_forms, AllCarryTheNotice) {
  const notice_case& each = GetParam();
  leaving_.respond =
      Answer(each.status, each.headers, kFirstEvent, each.is_complete);
  Prefer(leaving_, kMostSlots);
  const auto caller = Call();
  EXPECT_TRUE(Receives(caller, each.is_complete ? "\r\n\r\n" : kFirstEvent));
  if (each.does_caller_leave) {
    caller->Close();
    EXPECT_TRUE(Until([&] { return duty_.active_count() == 0; }));
  }
  AwaitEndOfBackoff();
  Prefer(leaving_, kMostSlots);
  EXPECT_TRUE(Receives(Call(), kLastEvent));
  EXPECT_EQ(leaving_.server.requests.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    response_forms,
    testing::Values(
        notice_case{"success", "200 OK", kLeaving, true, false},
        notice_case{"stream_begun", "200 OK", kLeaving, false, false},
        notice_case{"caller_left", "200 OK", kLeaving, false, true},
        notice_case{"error", "500 Error", kLeaving, true, false},
        notice_case{"refusal", "503 Full", "X-Leaving: 1\r\nX-Not-Run: 1\r\n",
                    true, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(leaving_endpoint_test, MalformedNoticeIsCountedAndIgnored) {
  leaving_.respond = Answer("200 OK", "X-Leaving: 0\r\n", kLastEvent);
  for (size_t calls = 1; calls <= 2; ++calls) {
    Prefer(leaving_);
    const auto caller = Call();
    EXPECT_TRUE(Receives(caller, kLastEvent));
    EXPECT_TRUE(Receives(caller, "200 OK"));
    Prefer(leaving_);
    EXPECT_TRUE(IsFinished(Submit()));
    EXPECT_EQ(leaving_.server.requests.size(), 2 * calls);
    EXPECT_EQ(duty_.counters().malformed_leave_notices, calls);
    EXPECT_EQ(dispatcher_.totals().malformed_leave_notices, calls);
  }
  EXPECT_EQ(duty_.counters().endpoints_leaving, 0u);
}

TEST_F(leaving_endpoint_test, OnlyOnesLeftAreNoLastResort) {
  for (stand_in* each : {&leaving_, &other_, &first_}) {
    each->respond = Answer("200 OK", kLeaving, kLastEvent);
    Prefer(*each);
    EXPECT_TRUE(Receives(Call(), kLastEvent));
  }
  EXPECT_EQ(duty_.counters().endpoints_leaving, 3u);
  EXPECT_TRUE(Receives(Call(), "HTTP/1.1 503"));
  EXPECT_EQ(duty_.counters().refused_no_endpoint, 1u);
  // A later start at the same address, which began after the notice.
  leaving_.report.start_time_ms = static_cast<uint64_t>(clock_.WallNow()) + 1;
  duty_.UpdateEndpoint({leaving_.report, clock_.Now()});
  EXPECT_TRUE(Receives(Call(), kLastEvent));
  EXPECT_EQ(leaving_.server.requests.size(), 2u);
}

}  // namespace

}  // namespace shallotport
