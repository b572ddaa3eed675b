#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "slots/slot_allocator.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr int kEndpoints = 6;
constexpr int kHosts = 5;
constexpr uint32_t kSlots = 3;
constexpr milliseconds kAvoidanceWindow{500};
const service_id kService("llm");

// Random operations on an allocator, beside a plain record of what is true:
// load reports are lost, repeated and late, hosts fail, endpoints come and go,
// and time jumps as after a suspension.
class random_operations : public testing::TestWithParam<uint64_t> {
 protected:
  struct endpoint_truth {
    endpoint_report report;
    bool is_known = false;
    uint32_t batch = 0;
    steady_time avoided_at{};
    uint64_t leaving_start_ms = 0;  // The latest that said that it leaves.
  };
  using host_load = std::map<int, int>;  // Requests by endpoint.

  random_operations() : random_(GetParam()) {
    for (int e = 0; e < kEndpoints; ++e) {
      endpoint_report& report = endpoints_[e].report;
      report.endpoint = endpoint_id("e" + std::to_string(e));
      report.service = kService;
      report.domain = DomainOf(e);
      report.slots = kSlots;
      report.start_time_ms = 1;
      report.software_version = RandomVersion();
      Publish(e, endpoint_stage::kReady);
    }
  }

  int Below(int bound) {
    return static_cast<int>(
        UniformBelow(random_, static_cast<uint64_t>(bound)));
  }
  static domain_id DomainOf(int number) {
    return domain_id("d" + std::to_string(number % 2));
  }
  std::string RandomVersion() { return "v" + std::to_string(Below(2)); }
  static std::string HostName(int host) { return "h" + std::to_string(host); }
  uint32_t Key(int e) { return LoadKey(endpoints_[e].report.endpoint); }

  void Publish(int e, endpoint_stage stage) {
    endpoint_truth& endpoint = endpoints_[e];
    endpoint.report.stage = stage;
    endpoint.is_known = stage != endpoint_stage::kLeft;
    if (!endpoint.is_known) {
      endpoint.batch = 0;
    }
    allocator_.Update(endpoint.report);
  }

  void ChangeEndpoint() {
    const int e = Below(kEndpoints);
    constexpr endpoint_stage kStages[] = {
        endpoint_stage::kReady, endpoint_stage::kReady,
        endpoint_stage::kDraining, endpoint_stage::kLeft};
    if (Below(4) == 0) {
      ++endpoints_[e].report.start_time_ms;
      endpoints_[e].report.software_version = RandomVersion();
      for (auto& [host, load] : loads_) {
        load.erase(e);
      }
    }
    Publish(e, kStages[Below(4)]);
  }

  // In the load report of a host that may know an earlier start only.
  void SayLeaving() {
    endpoint_truth& endpoint = endpoints_[Below(kEndpoints)];
    endpoint_start start{endpoint.report.endpoint,
                         endpoint.report.start_time_ms};
    start.start_time_ms -= Below(2) == 0 ? 1 : 0;
    endpoint.leaving_start_ms =
        std::max(endpoint.leaving_start_ms, start.start_time_ms);
    const int host = Below(kHosts);
    load_report report = ReportOf(loads_[host], endpoints_);
    report.leaving.push_back(start);
    allocator_.RecordLoad(now_, HostName(host), report);
  }

  void ChangeBatch() {
    const int e = Below(kEndpoints);
    if (endpoints_[e].is_known) {
      endpoints_[e].batch = static_cast<uint32_t>(Below(kSlots + 1));
      allocator_.SetBatchLoad(Key(e), endpoints_[e].batch);
    }
  }

  static load_report ReportOf(const std::map<int, int>& load,
                              const std::map<int, endpoint_truth>& endpoints) {
    load_report report;
    for (const auto& [e, count] : load) {
      if (count > 0) {
        report.entries.push_back({LoadKey(endpoints.at(e).report.endpoint),
                                  static_cast<uint16_t>(count)});
      }
    }
    return report;
  }

  void EndRequest() {
    host_load& load = loads_[Below(kHosts)];
    for (auto& [e, count] : load) {
      if (count > 0) {
        --count;
        return;
      }
    }
  }

  // Sends the host's load, an earlier one, or nothing.
  void ReportLoad() {
    const int host = Below(kHosts);
    if (Below(3) == 0) {
      late_reports_[host] = ReportOf(loads_[host], endpoints_);
      return;
    }
    const bool is_late = Below(4) == 0;
    allocator_.RecordLoad(
        now_, HostName(host),
        is_late ? late_reports_[host] : ReportOf(loads_[host], endpoints_));
  }

  void Request() {
    const int host = Below(kHosts);
    slot_request request;
    request.service = kService;
    request.domain = DomainOf(host);
    request.max_wait_ms = static_cast<uint32_t>(Below(300));
    request.max_retry_after_ms = static_cast<uint32_t>(Below(1'500));
    if (Below(4) == 0) {
      const int avoided = Below(kEndpoints);
      request.avoided_endpoints.push_back(Key(avoided));
      endpoints_[avoided].avoided_at = now_;
    }
    if (Below(10) == 0) {
      request.avoided_domains.push_back(domain_id("d0"));
    }
    if (Below(3) == 0) {
      request.software_version = RandomVersion();
    }
    if (Below(6) == 0) {
      request.failed_endpoints.push_back(Key(Below(kEndpoints)));
    }
    const slot_decision decision =
        allocator_.Allocate(now_, HostName(host), request);
    switch (decision.reply.kind) {
      case slot_reply_kind::kGranted:
        CheckGrant(host, request, decision);
        break;
      case slot_reply_kind::kRefused:
        CheckRefusal(request, decision);
        break;
      case slot_reply_kind::kNoEndpoint:
        break;
      case slot_reply_kind::kUnavailable:
      case slot_reply_kind::kQueued:
        ADD_FAILURE() << "no decision";
    }
  }

  bool MayUse(const slot_request& request, int e) {
    const endpoint_truth& endpoint = endpoints_[e];
    const auto& avoided = request.avoided_endpoints;
    const auto& domains = request.avoided_domains;
    const std::string& version = endpoint.report.software_version;
    return endpoint.is_known &&
           request.software_version.value_or(version) == version &&
           endpoint.report.stage == endpoint_stage::kReady &&
           endpoint.report.start_time_ms > endpoint.leaving_start_ms &&
           std::count(avoided.begin(), avoided.end(), Key(e)) == 0 &&
           std::count(domains.begin(), domains.end(), endpoint.report.domain) ==
               0;
  }

  void CheckGrant(int host,
                  const slot_request& request,
                  const slot_decision& decision) {
    int granted = 0;
    while (endpoints_[granted].report.endpoint != decision.reply.endpoint) {
      ASSERT_LT(++granted, kEndpoints);
    }
    EXPECT_TRUE(MayUse(request, granted));
    EXPECT_LE(decision.expected_wait, milliseconds(request.max_wait_ms));
    const uint32_t online = allocator_.OnlineLoad(Key(granted));
    EXPECT_EQ(decision.needs_yield,
              online <= kSlots && online + endpoints_[granted].batch > kSlots);
    if (decision.needs_yield) {
      --endpoints_[granted].batch;
      allocator_.SetBatchLoad(Key(granted), endpoints_[granted].batch);
    }
    // Some hosts do not use what they asked for.
    loads_[host][granted] += Below(8) == 0 ? 0 : 1;
  }

  void CheckRefusal(const slot_request& request,
                    const slot_decision& decision) {
    EXPECT_GT(decision.expected_wait, milliseconds(request.max_wait_ms));
    EXPECT_GT(decision.reply.retry_after_ms, 0u);
    EXPECT_LE(decision.reply.retry_after_ms,
              std::max(request.max_retry_after_ms, 100u));
    for (int e = 0; e < kEndpoints; ++e) {
      const bool may_be_avoided =
          now_ < endpoints_[e].avoided_at + kAvoidanceWindow;
      if (MayUse(request, e) && !may_be_avoided) {
        EXPECT_GE(allocator_.OnlineLoad(Key(e)), kSlots)
            << "refused while a slot is free or held by batch";
      }
    }
  }

  void CheckLoadAfterReports() {
    now_ += milliseconds(1'000);
    for (int host = 0; host < kHosts; ++host) {
      allocator_.RecordLoad(now_, HostName(host),
                            ReportOf(loads_[host], endpoints_));
    }
    for (int e = 0; e < kEndpoints; ++e) {
      if (!endpoints_[e].is_known) {
        continue;
      }
      int online = 0;
      for (auto& [host, load] : loads_) {
        online += load[e];
      }
      EXPECT_EQ(allocator_.OnlineLoad(Key(e)), static_cast<uint32_t>(online));
    }
  }

  random_source random_;
  steady_time now_{milliseconds(1'000'000)};
  endpoint_limits limits_;
  slot_allocator allocator_{limits_};
  std::map<int, endpoint_truth> endpoints_;
  std::map<int, host_load> loads_;
  std::map<int, load_report> late_reports_;
};

TEST_P(random_operations, KeepThePromisesOfTheAllocator) {
  for (int step = 0; step < 3'000; ++step) {
    now_ +=
        Below(200) == 0 ? milliseconds(Below(5'000)) : milliseconds(Below(30));
    const int operation = Below(100);
    if (operation < 45) {
      Request();
    } else if (operation < 65) {
      EndRequest();
    } else if (operation < 85) {
      ReportLoad();
    } else if (operation < 93) {
      ChangeBatch();
    } else if (operation < 97) {
      ChangeEndpoint();
    } else if (operation < 98) {
      allocator_.RemoveHost(HostName(Below(kHosts)));
    } else if (operation < 99) {
      SayLeaving();
    } else {
      CheckLoadAfterReports();
    }
    if (HasFailure()) {
      FAIL() << "at step " << step;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         random_operations,
                         testing::Range<uint64_t>(1, 21));

}  // namespace

}  // namespace shallotport
