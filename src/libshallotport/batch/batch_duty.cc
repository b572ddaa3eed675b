#include "batch/batch_duty.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

namespace shallotport {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRingCapacity = 32'768;
// Above this fill level, messages that may be lost are dropped.
constexpr size_t kDroppableCapacity = 8'192;
constexpr size_t kWorkerCapacity = 4'096;
constexpr duration kLeaseTimeout = seconds(3);
constexpr duration kRecordTimeout = seconds(5);
constexpr duration kPollTimeout = milliseconds(1'500);
constexpr duration kStateTimeout = seconds(2);
constexpr duration kViewUpdateInterval = milliseconds(100);
constexpr duration kIdleWorkerInterval = std::chrono::hours(1);

}  // namespace

batch_duty::batch_duty(const batch_duty_options& options,
                       const clock_source& clock,
                       replicated_log& log,
                       batch_calls& calls,
                       item_claims& claims,
                       notice_sender send)
    : options_(options),
      clock_(clock),
      client_(log),
      calls_(calls),
      claims_(claims),
      send_(std::move(send)),
      sender_(options.host, options.started, options.sender, options.seed),
      ownership_(options.host, options.ownership),
      notifier_(options.host),
      lease_worker_(
          clock,
          kWorkerCapacity,
          [](steady_time, const std::function<void()>& task) { task(); },
          [](steady_time now) { return now + kIdleWorkerInterval; }),
      record_worker_(
          clock,
          kWorkerCapacity,
          [](steady_time, const std::function<void()>& task) { task(); },
          [](steady_time now) { return now + kIdleWorkerInterval; }),
      renewal_worker_(
          clock,
          kWorkerCapacity,
          [](steady_time, const std::function<void()>& task) { task(); },
          [](steady_time now) { return now + kIdleWorkerInterval; }),
      poll_worker_(
          clock,
          kWorkerCapacity,
          [](steady_time, const std::function<void()>& task) { task(); },
          [](steady_time now) { return now + kIdleWorkerInterval; }),
      thread_(
          clock,
          kRingCapacity,
          [this](steady_time now, const message& each) {
            std::visit([&](const auto& kind) { On(now, kind); }, each);
          },
          [this](steady_time now) { return OnTimer(now); }) {
  for (std::unique_ptr<worker>& each : claim_workers_) {
    each = std::make_unique<worker>(
        clock, kWorkerCapacity,
        [](steady_time, const std::function<void()>& task) { task(); },
        [](steady_time now) { return now + kIdleWorkerInterval; });
  }
}

batch_duty::~batch_duty() {
  Stop();
}

void batch_duty::Start() {
  lease_worker_.Start();
  record_worker_.Start();
  renewal_worker_.Start();
  poll_worker_.Start();
  for (std::unique_ptr<worker>& each : claim_workers_) {
    each->Start();
  }
  thread_.Start();
}

void batch_duty::Stop() {
  thread_.Stop();
  lease_worker_.Stop();
  record_worker_.Stop();
  renewal_worker_.Stop();
  poll_worker_.Stop();
  for (std::unique_ptr<worker>& each : claim_workers_) {
    each->Stop();
  }
}

void batch_duty::Push(message each) {
  thread_.TryPush(std::move(each));
}

bool batch_duty::TryPush(message each) {
  return thread_.ring().size() < kDroppableCapacity &&
         thread_.TryPush(std::move(each));
}

void batch_duty::OnPeerMessage(peer_message message) {
  TryPush(std::move(message));
}

void batch_duty::OnOnlineStarted(const endpoint_id& endpoint) {
  online_.Add(endpoint);
  TryPush(wake_up{});
}

void batch_duty::OnOnlineFirstByte(const endpoint_id& endpoint,
                                   duration first_byte) {
  online_.AddSample(endpoint, first_byte);
}

void batch_duty::OnOnlineEnded(const endpoint_id& endpoint) {
  online_.Remove(endpoint);
}

// ---- Messages ----

void batch_duty::On(steady_time, const wake_up&) {}

void batch_duty::On(steady_time, const drain_request&) {
  sender_.BeginDrain();
}

void batch_duty::On(steady_time, const cancel_request&) {
  sender_.CancelRunning();
}

void batch_duty::On(steady_time now, const lease_reply& each) {
  sender_.OnLeased(now, each.reply);
}

void batch_duty::On(steady_time now, const record_reply& each) {
  sender_.OnRecorded(now, each.reply);
}

void batch_duty::On(steady_time now, const renewal_reply& each) {
  sender_.OnRenewed(now, each.reply);
}

void batch_duty::On(steady_time now, const poll_reply& each) {
  sender_.OnRevocations(now, each.reply);
}

void batch_duty::On(steady_time now, const claim_reply& each) {
  sender_.OnClaim(now, each.item, each.reply.claim, each.reply.answer);
}

void batch_duty::On(steady_time now, const batch_call_end& each) {
  sender_.OnCallEnd(now, each);
}

void batch_duty::On(steady_time now, const endpoint_record& each) {
  endpoint_record& known = records_[each.id];
  const bool is_report_only =
      known.started == each.started && known.services == each.services &&
      known.is_leaving == each.is_leaving && known.address == each.address;
  const bool is_new_report = known.started != each.started ||
                             known.load.sequence != each.load.sequence;
  known = each;
  if (!is_report_only) {
    UpdateEndpointView(now);
  }
  if (is_new_report) {
    sender_.OnReport(now, each.id, each.load);
  }
}

void batch_duty::On(steady_time now, const endpoint_id& each) {
  records_.erase(each);
  UpdateEndpointView(now);
}

void batch_duty::On(steady_time now, const std::vector<host_id>& each) {
  ownership_.SetHosts(now, each);
  is_view_stale_ = true;
}

void batch_duty::On(steady_time, const std::vector<batch_service>& each) {
  services_.clear();
  for (const batch_service& service : each) {
    services_[service.id] = service.window;
  }
  is_view_stale_ = true;
}

void batch_duty::On(steady_time now, const peer_message& each) {
  const result<yield_notice> notice = DecodeYieldNotice(each.payload);
  if (!IsOk(notice)) {
    return;
  }
  ++notices_received_;
  for (const endpoint_online& online : ValueOf(notice).endpoints) {
    sender_.OnOnline(now, online.endpoint, each.from, each.from_incarnation,
                     online.count);
  }
}

void batch_duty::On(steady_time, const state_request& each) {
  each(*this);
}

// ---- Steps ----

steady_time batch_duty::OnTimer(steady_time now) {
  TakeOnlineCounts(now);
  if (is_view_stale_ || now >= next_view_update_at_) {
    UpdateEndpointView(now);
  }
  for (const outgoing_notice& each :
       notifier_.TakeDueNotices(now, ownership_)) {
    ++notices_sent_;
    send_(each.to, EncodeYieldNotice(each.notice));
  }
  for (const batch_action& action : sender_.Step(now)) {
    std::visit([this](const auto& kind) { Execute(kind); }, action);
  }
  is_drained_ = sender_.IsDrained();
  const steady_time next = sender_.NextTimer(now);
  return std::min(next, notifier_.NextSendAt().value_or(next));
}

void batch_duty::TakeOnlineCounts(steady_time now) {
  for (const auto& [endpoint, count] : online_.TakeCounts()) {
    notifier_.SetInFlight(now, endpoint, count);
    sender_.OnOnline(now, endpoint, options_.host, options_.started,
                     notifier_.CountOf(endpoint));
  }
  for (const online_counts::sample& sample : online_.TakeSamples()) {
    sender_.OnOnlineLatency(now, sample.endpoint, sample.first_byte);
  }
}

batch_endpoint batch_duty::MakeEndpointView(
    steady_time now,
    const endpoint_record& record) const {
  batch_endpoint view;
  view.id = record.id;
  view.started = record.started;
  view.address = record.address;
  view.slots = std::max(record.load.slots, 1U);
  view.can_resume = record.can_resume;
  const bool is_owned = ownership_.MaySend(now, record.id);
  view.may_start = is_owned && !record.is_leaving;
  view.must_leave = !is_owned;
  for (const service_id& service : record.services) {
    const auto configured = services_.find(service);
    if (configured == services_.end()) {
      continue;
    }
    if (view.services.empty()) {
      view.window = configured->second;
    }
    view.services.push_back(service);
  }
  return view;
}

void batch_duty::UpdateEndpointView(steady_time now) {
  if (is_view_stale_ || records_.size() != ownership_.endpoint_count()) {
    std::vector<endpoint_id> ids;
    ids.reserve(records_.size());
    for (const auto& [id, record] : records_) {
      ids.push_back(id);
    }
    ownership_.SetEndpoints(now, ids);
  }
  std::vector<batch_endpoint> view;
  view.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    view.push_back(MakeEndpointView(now, record));
  }
  sender_.SetEndpoints(now, view);
  is_view_stale_ = false;
  next_view_update_at_ = now + kViewUpdateInterval;
}

// ---- Actions ----

void batch_duty::Execute(const start_batch_call& action) {
  calls_.Start(action, [this](batch_call_end end) { Push(std::move(end)); });
}

void batch_duty::Execute(const cancel_batch_call& action) {
  calls_.Cancel(action.call);
}

void batch_duty::Execute(const request_lease& action) {
  lease_worker_.TryPush([this, command = action.command] {
    Push(lease_reply{client_.Lease(command, clock_.Now() + kLeaseTimeout)});
  });
}

void batch_duty::Execute(const request_record& action) {
  record_worker_.TryPush([this, command = action.command] {
    Push(record_reply{client_.Record(command, clock_.Now() + kRecordTimeout)});
  });
}

void batch_duty::Execute(const request_lease_renewal& action) {
  renewal_worker_.TryPush([this, command = action.command] {
    Push(renewal_reply{client_.Renew(command, clock_.Now() + kLeaseTimeout)});
  });
}

void batch_duty::Execute(const request_revocations& action) {
  poll_worker_.TryPush([this, query = action.query] {
    Push(poll_reply{client_.Revocations(query, clock_.Now() + kPollTimeout)});
  });
}

// All claim calls of an item go to the same worker, which keeps their order.
batch_duty::worker& batch_duty::ClaimWorker(const item_ref& item) {
  return *claim_workers_[(item.job + item.index) % kClaimWorkers];
}

void batch_duty::Execute(const begin_item_claim& action) {
  const bool is_queued = ClaimWorker(action.item).TryPush([this, action] {
    Push(claim_reply{action.item, claims_.Begin(action)});
  });
  if (!is_queued) {
    Push(claim_reply{action.item, {}});
  }
}

void batch_duty::Execute(const finish_item_claim& action) {
  ClaimWorker(action.item).TryPush([this, action] { claims_.Finish(action); });
}

void batch_duty::Execute(const release_item_claim& action) {
  ClaimWorker(action.item).TryPush([this, action] { claims_.Release(action); });
}

void batch_duty::Execute(const abandon_item_claim& action) {
  ClaimWorker(action.item).TryPush([this, action] { claims_.Abandon(action); });
}

void batch_duty::WriteState(nlohmann::json& out) {
  auto reply = std::make_shared<std::promise<std::string>>();
  std::future<std::string> dumped = reply->get_future();
  Push(state_request([reply](const batch_duty& duty) {
    nlohmann::json state;
    duty.sender_.WriteState(state);
    duty.ownership_.WriteState(state["ownership"]);
    state["counters"]["batch_notices_sent"] = duty.notices_sent_;
    state["counters"]["batch_notices_received"] = duty.notices_received_;
    reply->set_value(state.dump());
  }));
  if (dumped.wait_for(kStateTimeout) == std::future_status::ready) {
    out = nlohmann::json::parse(dumped.get());
  }
}

}  // namespace shallotport
