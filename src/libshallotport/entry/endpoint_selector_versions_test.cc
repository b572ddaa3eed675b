#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "entry/endpoint_selector.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr int kEndpoints = 6;
constexpr uint32_t kSlots = 3;
const service_id kService("llm");

// Random operations beside the endpoints' reports: endpoints start again under
// their id with another software version, drain, leave, fail and fill up.
class random_versions : public testing::TestWithParam<uint64_t> {
 protected:
  random_versions()
      : random_(GetParam()), selector_({domain_id("d0"), 2, GetParam()}) {
    for (int e = 0; e < kEndpoints; ++e) {
      endpoint_report& report = reports_[e];
      report.endpoint = endpoint_id("e" + std::to_string(e));
      report.service = kService;
      report.domain = domain_id("d" + std::to_string(e % 2));
      report.slots = kSlots;
      Restart(e);
    }
  }

  int Below(int bound) {
    return static_cast<int>(
        UniformBelow(random_, static_cast<uint64_t>(bound)));
  }
  std::string RandomVersion() { return "v" + std::to_string(Below(3)); }

  void Restart(int e) {
    ++reports_[e].start_time_ms;
    reports_[e].software_version = RandomVersion();
    reports_[e].stage = endpoint_stage::kReady;
    selector_.Update(reports_[e]);
  }
  void ChangeEndpoint() {
    const int e = Below(kEndpoints);
    if (Below(2) == 0) {
      Restart(e);
      return;
    }
    reports_[e].stage =
        Below(2) == 0 ? endpoint_stage::kDraining : endpoint_stage::kLeft;
    selector_.Update(reports_[e]);
  }

  selection_constraints RandomConstraints() {
    selection_constraints constraints;
    constraints.is_batch = Below(5) == 0;
    if (Below(3) > 0) {
      constraints.software_version = RandomVersion();
    }
    if (Below(4) == 0) {
      constraints.excluded.insert(reports_[Below(kEndpoints)].endpoint);
    }
    if (Below(3) == 0) {
      constraints.avoided.insert(reports_[Below(kEndpoints)].endpoint);
      constraints.is_limited_to_avoided = Below(2) == 0;
    }
    return constraints;
  }
  void Select() {
    const selection_constraints constraints = RandomConstraints();
    if (Below(2) == 0) {
      const endpoint_id granted = reports_[Below(kEndpoints)].endpoint;
      const auto selected =
          selector_.AcquireGranted(now_, granted, constraints);
      if (selected) {
        Check(*selected, constraints);
      }
      return;
    }
    const auto selection = selector_.Acquire(now_, kService, constraints);
    if (const auto* selected = std::get_if<selected_endpoint>(&selection)) {
      Check(*selected, constraints);
    } else if (std::get<selection_failure>(selection) ==
               selection_failure::kNoEndpoint) {
      EXPECT_FALSE(HasReadyEndpoint(constraints));
    }
  }
  void Check(const selected_endpoint& selected,
             const selection_constraints& constraints) {
    const auto report =
        std::find_if(reports_.begin(), reports_.end(), [&](const auto& each) {
          return each.second.endpoint == selected.endpoint;
        });
    ASSERT_NE(report, reports_.end());
    const std::string& version = report->second.software_version;
    EXPECT_EQ(report->second.stage, endpoint_stage::kReady);
    EXPECT_EQ(selected.software_version, version);
    EXPECT_EQ(constraints.software_version.value_or(version), version);
    EXPECT_FALSE(constraints.excluded.contains(selected.endpoint));
    EXPECT_TRUE(!constraints.is_limited_to_avoided ||
                constraints.avoided.contains(selected.endpoint));
    EXPECT_TRUE(selector_.IsSameStart(selected));
    EXPECT_TRUE(selector_.IsVersionServing(kService, version));
    held_.push_back(selected.endpoint);
  }
  bool HasReadyEndpoint(const selection_constraints& constraints) const {
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& each) {
      const std::string& version = each.second.software_version;
      return each.second.stage == endpoint_stage::kReady &&
             constraints.software_version.value_or(version) == version &&
             !constraints.excluded.contains(each.second.endpoint) &&
             (!constraints.is_limited_to_avoided ||
              constraints.avoided.contains(each.second.endpoint));
    });
  }
  void Release() {
    if (held_.empty()) {
      return;
    }
    constexpr endpoint_outcome kOutcomes[] = {
        endpoint_outcome::kServed, endpoint_outcome::kShed,
        endpoint_outcome::kBroken, endpoint_outcome::kSilent};
    selector_.Release(now_, held_.back(), kOutcomes[Below(4)]);
    held_.pop_back();
  }
  void CheckUsage() {
    uint32_t slots = 0;
    uint32_t taken = 0;
    for (int version = 0; version < 3; ++version) {
      const auto usage =
          selector_.SlotUsage(now_, kService, "v" + std::to_string(version));
      slots += usage.slots;
      taken += usage.taken;
    }
    const auto all = selector_.SlotUsage(now_, kService);
    EXPECT_EQ(slots, all.slots);
    EXPECT_EQ(taken, all.taken);
  }

  random_source random_;
  steady_time now_{milliseconds(1'000'000)};
  endpoint_selector selector_;
  std::map<int, endpoint_report> reports_;
  std::vector<endpoint_id> held_;
};

TEST_P(random_versions, AreNeverSelectedAgainstTheConstraint) {
  for (int step = 0; step < 3'000; ++step) {
    now_ += milliseconds(Below(100));
    const int operation = Below(100);
    if (operation < 55) {
      Select();
    } else if (operation < 90) {
      Release();
    } else if (operation < 95) {
      ChangeEndpoint();
    } else {
      CheckUsage();
    }
    if (HasFailure()) {
      FAIL() << "at step " << step;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         random_versions,
                         testing::Range<uint64_t>(1, 21));

// An endpoint says in a response that it leaves. A report of a later start than
// the known one arrives after that.
struct early_notice_case {
  std::string name;
  int started_ms;   // Of the start that is reported, since the notice.
  int reported_ms;  // Likewise, when its report is received.
  bool is_used;
};

class early_notices : public testing::TestWithParam<early_notice_case> {};

// The notice was held against the earlier start only.
TEST_P(early_notices, HoldForStartsFromBefore) {
  const steady_time heard_at{std::chrono::seconds(100)};
  endpoint_selector selector({domain_id("d"), 2, 1});
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.service = kService;
  report.slots = kSlots;
  report.start_time_ms = 5;
  report.software_version = "v1";
  selector.Update(report);
  selector.RecordLeaving(heard_at, {report.endpoint, 5},
                         leaving_endpoints::origin::kOwnResponse);
  report.start_time_ms = 6;
  const steady_time started_at = heard_at + milliseconds(GetParam().started_ms);
  selector.Update(report, started_at);
  selector.ConfirmStart(heard_at + milliseconds(GetParam().reported_ms),
                        {report.endpoint, 6}, started_at);
  EXPECT_EQ(selector.IsServing(report.endpoint), GetParam().is_used);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    early_notices,
    testing::Values(
        early_notice_case{"start_from_before", -1'500, 3'000, false},
        early_notice_case{"start_from_after", 500, 3'000, true},
        // A start that leaves has said so in its reports by then.
        early_notice_case{"goes_on_reporting", -1'500, 16'000, true}),
    [](const auto& info) { return info.param.name; });

// The first of several requests that broke was followed by a refused connection
// while the others had not been seen to break.
TEST(ended_start_test, EndIsKnownOnceTheLastRequestBreaks) {
  const steady_time now{std::chrono::seconds(100)};
  endpoint_selector selector({domain_id("d"), 2, 1});
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.service = kService;
  report.slots = kSlots;
  report.start_time_ms = 5;
  report.software_version = "v1";
  selector.Update(report);
  for (int i = 0; i < 3; ++i) {
    selector.Acquire(now, kService, selection_constraints());
  }
  selector.Release(now, report.endpoint, endpoint_outcome::kBroken);
  selector.RecordEnded(now, {report.endpoint, 5});
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  selector.Release(now, report.endpoint, endpoint_outcome::kBroken);
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  selector.Release(now, report.endpoint, endpoint_outcome::kBroken);
  EXPECT_FALSE(selector.IsVersionServing(kService, "v1"));
  EXPECT_TRUE(selector.crashes().HasNews());
}

// An endpoint refuses a connection while the load exchange counts requests of
// other hosts there.
struct refusal_case {
  std::string name;
  uint32_t counted;  // Requests of other hosts, at the refusal.
  uint32_t counted_next;
  int next_ms;       // When the exchange counts again, since the refusal.
  bool is_answered;  // Another request is answered before that.
  bool has_ended;
};

class refusals : public testing::TestWithParam<refusal_case> {
 protected:
  refusals() : selector_({domain_id("d"), 2, 1}) {
    report_.endpoint = endpoint_id("e");
    report_.service = kService;
    report_.slots = kSlots;
    report_.start_time_ms = 5;
    report_.software_version = "v1";
    selector_.Update(report_);
    selector_.SetPeerLoad(refused_at_, report_.endpoint, GetParam().counted);
  }

  void CountAgain() {
    const steady_time now = refused_at_ + milliseconds(GetParam().next_ms);
    selector_.SetPeerLoad(now, report_.endpoint, GetParam().counted_next);
  }

  const steady_time refused_at_{std::chrono::seconds(100)};
  endpoint_report report_;
  endpoint_selector selector_;
};

// Requests that had been refused as well were taken for running ones.
TEST_P(refusals, EndAStartIfNoRequestIsLeftThere) {
  const selection_constraints constraints;
  selector_.Acquire(refused_at_, kService, constraints);
  if (GetParam().is_answered) {
    selector_.Acquire(refused_at_, kService, constraints);
  }
  selector_.Release(refused_at_, report_.endpoint, endpoint_outcome::kEnded);
  EXPECT_TRUE(selector_.IsVersionServing(kService, "v1"));
  if (GetParam().is_answered) {
    selector_.Release(refused_at_, report_.endpoint, endpoint_outcome::kServed);
  }
  CountAgain();
  EXPECT_EQ(selector_.HasEnded(report_.endpoint), GetParam().has_ended);
  EXPECT_EQ(selector_.IsVersionServing(kService, "v1"), !GetParam().has_ended);
  EXPECT_EQ(selector_.crashes().HasNews(), GetParam().has_ended);
  // A start from before the refusal may be the one that ended.
  report_.start_time_ms = 6;
  selector_.Update(report_, refused_at_ - milliseconds(1));
  EXPECT_EQ(selector_.HasEnded(report_.endpoint), GetParam().has_ended);
  report_.start_time_ms = 7;
  selector_.Update(report_, refused_at_ + milliseconds(1));
  EXPECT_FALSE(selector_.HasEnded(report_.endpoint));
}

TEST_P(refusals, OfOtherHostsCountLikewise) {
  if (GetParam().is_answered) {
    return;  // By another host: not known here.
  }
  selector_.RecordEndedByKey(refused_at_, StartKey({report_.endpoint, 5}),
                             false);
  EXPECT_TRUE(selector_.IsVersionServing(kService, "v1"));
  CountAgain();
  EXPECT_EQ(selector_.HasEnded(report_.endpoint), GetParam().has_ended);
}

// The refusal was that of an earlier start.
TEST_P(refusals, AreForgottenWithTheStart) {
  selector_.RecordEndedByKey(refused_at_, StartKey({report_.endpoint, 5}),
                             false);
  report_.start_time_ms = 6;
  selector_.Update(report_, refused_at_ + milliseconds(1));
  CountAgain();
  EXPECT_FALSE(selector_.HasEnded(report_.endpoint));
}

INSTANTIATE_TEST_SUITE_P(
    table,
    refusals,
    testing::Values(refusal_case{"none_left", 1, 0, 150, false, true},
                    refusal_case{"one_goes_on", 2, 1, 150, false, false},
                    // It may be full.
                    refusal_case{"no_free_slot", kSlots, 0, 150, false, false},
                    // They may have been served.
                    refusal_case{"late", 1, 0, 1'000, false, false},
                    refusal_case{"answered", 1, 0, 150, true, false}),
    [](const auto& info) { return info.param.name; });

// A host that starts may hear that a start has ended before it hears of the
// endpoint; it forgot what it could not match.
TEST(ended_start_test, EndIsKnownBeforeTheStartReports) {
  const steady_time ended_at{std::chrono::seconds(100)};
  endpoint_selector selector({domain_id("d"), 2, 1});
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.service = kService;
  report.slots = kSlots;
  report.start_time_ms = 5;
  report.software_version = "v1";
  crash_evidence evidence;
  crash_record& ended = evidence.crashes.emplace_back();
  ended.endpoint = StartKey({report.endpoint, 5});
  ended.service = kService;
  selector.RecordEndedByKey(ended_at, ended.endpoint, false);
  selector.crashes().Merge(ended_at, evidence);
  selector.Update(report, ended_at - std::chrono::seconds(10));
  selector.ConfirmStart(ended_at - milliseconds(500), {report.endpoint, 5});
  EXPECT_TRUE(selector.HasEnded(report.endpoint));
  EXPECT_FALSE(selector.IsVersionServing(kService, "v1"));
  // It had not ended.
  selector.ConfirmStart(ended_at + std::chrono::seconds(16),
                        {report.endpoint, 5});
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  selector.Update(report, ended_at - std::chrono::seconds(10));
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  report.start_time_ms = 6;
  report.software_version = "v2";
  selector.Update(report, ended_at + std::chrono::seconds(17));
  EXPECT_TRUE(selector.IsVersionServing(kService, "v2"));
}

// A host hears late that a start has ended, when its link to the job stores is
// back.
struct late_end_case {
  std::string name;
  int begun_ms;  // A request that this host has there; since the end.
  uint32_t counted;
  int counted_ms;  // When requests of other hosts were counted there.
  bool has_broken;
  bool has_ended;
};

class late_ends : public testing::TestWithParam<late_end_case> {};

// Requests that had begun since were taken for a sign that it goes on.
TEST_P(late_ends, AreNotDeniedByLaterRequests) {
  const late_end_case& param = GetParam();
  const steady_time ended_at{std::chrono::seconds(100)};
  endpoint_selector selector({domain_id("d"), 2, 1});
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.service = kService;
  report.slots = kSlots;
  report.start_time_ms = 5;
  report.software_version = "v1";
  selector.Update(report);
  selector.Acquire(ended_at - std::chrono::seconds(1), kService, {});
  const auto before =
      selector.Acquire(ended_at + milliseconds(param.begun_ms), kService, {});
  selector.Release(ended_at + milliseconds(param.begun_ms), report.endpoint,
                   endpoint_outcome::kServed);
  selector.SetPeerLoad(ended_at + milliseconds(param.counted_ms),
                       report.endpoint, param.counted);
  selector.RecordEndedByKey(ended_at, StartKey({report.endpoint, 5}),
                            param.has_broken);
  EXPECT_EQ(selector.HasEnded(report.endpoint), param.has_ended);
  EXPECT_EQ(selector.IsVersionServing(kService, "v1"), !param.has_ended);
  ASSERT_TRUE(std::holds_alternative<selected_endpoint>(before));
  EXPECT_EQ(selector.IsSameStart(std::get<selected_endpoint>(before)),
            !param.has_ended);
  EXPECT_EQ(selector.OwnLoad(report.endpoint), 1u);
}

INSTANTIATE_TEST_SUITE_P(
    table,
    late_ends,
    testing::Values(
        late_end_case{"begun_later", 2'000, 0, 0, true, true},
        late_end_case{"begun_later_none_broke", 2'000, 0, 0, false, true},
        late_end_case{"counted_later", 2'000, 2, 2'000, false, true},
        late_end_case{"begun_before", -500, 0, 0, true, false},
        late_end_case{"counted_before", 2'000, 1, 0, false, false}),
    [](const auto& info) { return info.param.name; });

// What becomes of an endpoint whose process was seen to end.
struct ended_start_case {
  std::string name;
  int reported_after_s;  // Its next report; negative: none.
  uint64_t reported_start;
  std::string reported_version;
  std::string known_version;  // Empty: it is not known.
  int started_ms = 500;       // Since the end was seen.
};

class ended_starts : public testing::TestWithParam<ended_start_case> {};

TEST_P(ended_starts, HaveNoVersionUntilTheirNextReport) {
  const steady_time ended_at{std::chrono::seconds(100)};
  endpoint_selector selector({domain_id("d"), 2, 1});
  endpoint_report report;
  report.endpoint = endpoint_id("e");
  report.service = kService;
  report.domain = domain_id("d");
  report.slots = kSlots;
  report.start_time_ms = 5;
  report.software_version = "v1";
  selector.Update(report);
  const auto before = std::get<selected_endpoint>(
      selector.Acquire(ended_at, kService, selection_constraints()));
  selector.RecordEnded(ended_at, {report.endpoint, 4});  // An earlier one.
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  const uint64_t key = StartKey({report.endpoint, 5});
  // A request of this host, or of another one, goes on there.
  selector.RecordEndedByKey(ended_at, key, true);
  selector.RecordEndedByKey(ended_at, key, false);
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  selector.Release(ended_at, report.endpoint, endpoint_outcome::kServed);
  selector.SetPeerLoad(ended_at, report.endpoint, 1);
  selector.RecordEndedByKey(ended_at, key, false);
  EXPECT_TRUE(selector.IsVersionServing(kService, "v1"));
  selector.RecordEndedByKey(ended_at, key, true);
  EXPECT_FALSE(selector.IsSameStart(before));
  if (GetParam().reported_after_s >= 0) {
    const steady_time received_at =
        ended_at + std::chrono::seconds(GetParam().reported_after_s);
    report.start_time_ms = GetParam().reported_start;
    report.software_version = GetParam().reported_version;
    selector.Update(report, ended_at + milliseconds(GetParam().started_ms));
    selector.ConfirmStart(received_at, {report.endpoint, report.start_time_ms});
  }
  const steady_time now = ended_at + std::chrono::seconds(20);
  const std::string& version = GetParam().known_version;
  for (const std::string& each : {std::string("v1"), std::string("v2")}) {
    selection_constraints constraints;
    constraints.software_version = each;
    EXPECT_EQ(selector.IsVersionServing(kService, each), each == version);
    EXPECT_EQ(std::holds_alternative<selected_endpoint>(
                  selector.Acquire(now, kService, constraints)),
              each == version);
    EXPECT_EQ(
        selector.AcquireGranted(now, report.endpoint, constraints).has_value(),
        each == version);
  }
  // It is used as long as there is no other one.
  selection_constraints unconstrained;
  unconstrained.prefers_known_version = true;
  const auto selection = selector.Acquire(now, kService, unconstrained);
  ASSERT_TRUE(std::holds_alternative<selected_endpoint>(selection));
  EXPECT_EQ(std::get<selected_endpoint>(selection).software_version, version);
  report.endpoint = endpoint_id("other");
  report.software_version = "v1";
  selector.Update(report);
  for (int i = 0; i < 20; ++i) {
    const auto next = selector.Acquire(now, kService, unconstrained);
    ASSERT_TRUE(std::holds_alternative<selected_endpoint>(next));
    const auto& selected = std::get<selected_endpoint>(next);
    EXPECT_TRUE(!version.empty() || selected.endpoint == report.endpoint);
    selector.Release(now, selected.endpoint, endpoint_outcome::kServed);
  }
}

INSTANTIATE_TEST_SUITE_P(
    table,
    ended_starts,
    testing::Values(ended_start_case{"no_report", -1, 0, "", ""},
                    ended_start_case{"later_start", 1, 6, "v2", "v2"},
                    // It may be the one that was seen to end.
                    ended_start_case{"start_before_the_end", 1, 6, "v2", "",
                                     -200},
                    ended_start_case{"delayed_report", 3, 5, "v1", ""},
                    // It had not ended.
                    ended_start_case{"goes_on", 16, 5, "v1", "v1"}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace shallotport
