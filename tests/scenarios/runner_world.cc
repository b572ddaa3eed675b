#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "batch/batch_window.h"
#include "fakes/fake_engine.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr duration kStep{5'000};
constexpr duration kReportPeriod{500'000};

// One fake runner between a batch sender with endless work, which keeps to the
// batch window, and online requests that come from another host. That host's
// counts reach the sender late, the engine's reports too.
class runner_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override;

 private:
  using verb = scenario_verb<runner_world>;
  static const std::array<verb, 3> kActions;
  static const std::array<verb, 3> kExpectations;

  void StartBatch(step_arguments& arguments);
  void Online(step_arguments& arguments);
  void LoseNotices(step_arguments& arguments);

  void ExpectBatchInside(step_arguments& arguments);
  void ExpectFirstTokens(step_arguments& arguments);
  void ExpectBatchDone(step_arguments& arguments);

  void Take(const fake_engine_event& event);
  void FollowWindow();
  void PostCount();
  void DeliverNotices();

  steady_time now_{duration(100'000'000)};
  std::unique_ptr<fake_engine> engine_;
  std::unique_ptr<batch_window> window_;
  duration notice_delay_{0};
  bool has_batch_ = false;
  bool loses_notices_ = false;
  uint32_t batch_tokens_ = 40;
  uint64_t next_call_ = 0;
  std::vector<std::string> batch_;             // Inside, oldest first.
  std::map<std::string, steady_time> online_;  // Arrival times.
  std::map<std::string, bool> has_first_token_;
  std::vector<duration> first_tokens_;
  std::multimap<steady_time, online_count> notices_;
  uint64_t notice_sequence_ = 0;
  steady_time next_report_;
  int64_t batch_done_ = 0;
};

const std::array<runner_world::verb, 3> runner_world::kActions = {
    {{"batch", &runner_world::StartBatch},
     {"online", &runner_world::Online},
     {"lose_notices", &runner_world::LoseNotices}}};

const std::array<runner_world::verb, 3> runner_world::kExpectations = {
    {{"batch_inside", &runner_world::ExpectBatchInside},
     {"first_tokens", &runner_world::ExpectFirstTokens},
     {"batch_done", &runner_world::ExpectBatchDone}}};

void runner_world::Begin(step_arguments& given) {
  fake_engine_options options;
  options.slots = static_cast<uint32_t>(given.Number("slots", 16));
  options.first_token_time = duration(40'000);
  options.token_time = duration(20'000);
  options.occupancy_slope = 0.02;
  options.report_lag = given.Time("report_lag", duration(200'000));
  engine_ = std::make_unique<fake_engine>(options);
  window_settings settings;
  settings.strategy = given.Text("strategy", "guarded");
  settings.reserve_slots =
      static_cast<uint32_t>(given.Number("reserve_slots", 2));
  auto window = batch_window::Create(settings);
  if (!IsOk(window)) {
    given.Fail(ErrorOf(window).detail);
    return;
  }
  window_ = std::make_unique<batch_window>(std::move(ValueOf(window)));
  notice_delay_ = given.Time("notice_delay", duration(1'000));
  next_report_ = now_;
}

bool runner_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool runner_world::Expect(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

void runner_world::Advance(duration time) {
  const steady_time end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    for (const fake_engine_event& event : engine_->Advance(now_)) {
      Take(event);
    }
    if (now_ >= next_report_) {
      next_report_ = now_ + kReportPeriod;
      window_->OnReport(now_, engine_->Report(now_));
    }
    DeliverNotices();
    FollowWindow();
  }
}

void runner_world::Take(const fake_engine_event& event) {
  const auto online = online_.find(event.attempt);
  if (online == online_.end()) {
    if (event.kind == fake_engine_event::event_kind::kFinished) {
      std::erase(batch_, event.attempt);
      ++batch_done_;
    }
    return;
  }
  if (event.kind == fake_engine_event::event_kind::kToken) {
    bool& has_first = has_first_token_[event.attempt];
    if (!has_first) {
      has_first = true;
      first_tokens_.push_back(event.at - online->second);
      window_->OnOnlineLatency(now_, event.at - online->second);
    }
    return;
  }
  online_.erase(online);
  PostCount();
}

// Cancels the youngest streams above the limit, or starts new ones below it.
void runner_world::FollowWindow() {
  const auto inside = [this] { return static_cast<uint32_t>(batch_.size()); };
  window_->SetOutstanding(now_, inside());
  while (inside() > window_->KeepLimit(now_)) {
    engine_->Cancel(now_, batch_.back());
    batch_.pop_back();
  }
  while (has_batch_ && inside() < window_->StartLimit(now_)) {
    batch_.push_back("batch-" + std::to_string(++next_call_));
    engine_->Submit(now_, {batch_.back(), batch_.back(), batch_tokens_});
  }
  window_->SetOutstanding(now_, inside());
}

void runner_world::PostCount() {
  if (!loses_notices_) {
    notices_.emplace(now_ + notice_delay_,
                     online_count{++notice_sequence_,
                                  static_cast<uint32_t>(online_.size())});
  }
}

void runner_world::DeliverNotices() {
  while (!notices_.empty() && notices_.begin()->first <= now_) {
    window_->OnOnline(now_, host_id("other"), 1, notices_.begin()->second);
    notices_.erase(notices_.begin());
  }
}

void runner_world::StartBatch(step_arguments& arguments) {
  has_batch_ = true;
  batch_tokens_ = static_cast<uint32_t>(arguments.Number("tokens", 40));
}

void runner_world::Online(step_arguments& arguments) {
  const int64_t count = arguments.Number("count");
  const auto tokens = static_cast<uint32_t>(arguments.Number("tokens", 20));
  first_tokens_.clear();
  for (int64_t i = 0; i < count; ++i) {
    const std::string name = "online-" + std::to_string(++next_call_);
    online_[name] = now_;
    engine_->Submit(now_, {name, name, tokens});
  }
  PostCount();
}

void runner_world::LoseNotices(step_arguments& /*arguments*/) {
  loses_notices_ = true;
}

void runner_world::ExpectBatchInside(step_arguments& arguments) {
  const auto inside = static_cast<int64_t>(batch_.size());
  if (inside > arguments.Number("at_most", inside) ||
      inside < arguments.Number("at_least", inside)) {
    arguments.Fail("batch streams inside the engine: " +
                   std::to_string(inside));
  }
}

void runner_world::ExpectFirstTokens(step_arguments& arguments) {
  const int64_t count = arguments.Number("count");
  const duration limit = arguments.Time("within");
  const auto in_time =
      std::count_if(first_tokens_.begin(), first_tokens_.end(),
                    [limit](duration time) { return time <= limit; });
  arguments.Check("first tokens within the limit", in_time, count);
}

void runner_world::ExpectBatchDone(step_arguments& arguments) {
  if (batch_done_ < arguments.Number("at_least")) {
    arguments.Fail("batch items done: " + std::to_string(batch_done_));
  }
}

}  // namespace

std::unique_ptr<scenario_world> MakeRunnerWorld() {
  return std::make_unique<runner_world>();
}

}  // namespace shallotport
