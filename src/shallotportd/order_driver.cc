#include "order_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "order_json.h"

namespace shallotport {

namespace {

constexpr duration kInterval = std::chrono::milliseconds(100);
constexpr duration kAskTimeout = std::chrono::milliseconds(500);
// After a confirmed read: less than order_sender_options::longest_lease allows
// for beyond the lease itself.
constexpr duration kSendWindow = std::chrono::seconds(1);
constexpr duration kStateTimeout = std::chrono::seconds(2);
constexpr size_t kRingCapacity = 256;
constexpr size_t kMostCalls = 64;
constexpr std::chrono::milliseconds kCallTimeout{25'000};
constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;

// A former leader sends for kSendWindow after its last confirmed read, which
// its lease may have confirmed.
order_sender_options SenderOptions(std::chrono::milliseconds leader_lease) {
  order_sender_options options;
  options.longest_lease =
      std::max(options.longest_lease,
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   2 * leader_lease + kSendWindow));
  return options;
}

order_answer AnswerOf(int status, const endpoint_call_end& end) {
  if (!end.is_sent) {
    return order_answer::kUnreachable;
  }
  if (!end.is_whole || status >= 500) {
    return order_answer::kNoAnswer;
  }
  if (status == kConflictStatus) {
    return order_answer::kOldFencing;
  }
  return status == kOkStatus ? order_answer::kDone : order_answer::kRefused;
}

}  // namespace

// Turns the end of one call into a message to the duty.
class order_driver::order_sink final : public endpoint_call_sink {
 public:
  order_sink(duty_thread<message>& thread, const order_send& send)
      : thread_(thread), order_id_(send.order.id), fencing_(send.fencing) {}

  void OnHead(int status, std::vector<http_field>) override {
    status_ = status;
  }
  void OnBytes(std::string_view) override {}
  void OnEnd(const endpoint_call_end& end) override {
    const std::string detail =
        end.is_whole ? "status " + std::to_string(status_) : end.detail;
    thread_.TryPush(
        send_end{order_id_, fencing_, AnswerOf(status_, end), detail});
  }

 private:
  duty_thread<message>& thread_;
  const std::string order_id_;
  const fencing_number fencing_;
  int status_ = 0;
};

result<std::unique_ptr<order_driver>> order_driver::Create(
    const host_id& host,
    replicated_log& member,
    const clock_source& clock,
    std::chrono::milliseconds leader_lease) {
  auto caller = endpoint_caller::Create(kMostCalls);
  if (!IsOk(caller)) {
    return ErrorOf(caller);
  }
  return std::unique_ptr<order_driver>(new order_driver(
      host, member, clock, leader_lease, std::move(ValueOf(caller))));
}

order_driver::order_driver(host_id host,
                           replicated_log& member,
                           const clock_source& clock,
                           std::chrono::milliseconds leader_lease,
                           std::unique_ptr<endpoint_caller> caller)
    : host_(std::move(host)),
      clock_(clock),
      client_(member),
      sender_(SenderOptions(leader_lease)),
      thread_(
          clock,
          kRingCapacity,
          [this](steady_time now, const message& received) {
            std::visit([&](const auto& typed) { On(now, typed); }, received);
          },
          [this](steady_time now) { return OnTimer(now); }),
      caller_(std::move(caller)) {}

void order_driver::Stop() {
  caller_->Stop();
  thread_.Stop();
}

void order_driver::WriteState(nlohmann::json& out) {
  auto reply = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> dumped = reply->get_future();
  if (thread_.TryPush(state_request{std::move(reply)}) &&
      dumped.wait_for(kStateTimeout) == std::future_status::ready) {
    out = dumped.get();
  }
}

void order_driver::On(steady_time now, const send_end& end) {
  sender_.OnAnswer(now, end.order_id, end.fencing, end.answer, end.detail);
}

void order_driver::On(steady_time, const state_request& request) {
  nlohmann::json dump;
  sender_.WriteState(dump);
  request.reply->set_value(std::move(dump));
}

steady_time order_driver::OnTimer(steady_time now) {
  result<order_list> list = client_.List(now + kAskTimeout);
  if (!IsOk(list)) {
    if (is_leader_) {
      sender_.OnLeadershipLost();
    }
    is_leader_ = false;
    return clock_.Now() + kInterval;
  }
  if (!is_leader_) {
    sender_.OnLeadershipGained(now);
  }
  is_leader_ = true;
  sender_.OnEpochSeen(now, ValueOf(list).epoch);
  queued_ = std::move(ValueOf(list).queued);
  for (const order_record& record : queued_) {
    sender_.OnEndpoint(record.order.endpoint, record.target.checks_fencing);
  }
  sender_.OnQueue(queued_);
  Perform(now, sender_.Step(clock_.Now(), now + kSendWindow));
  return clock_.Now() + kInterval;
}

void order_driver::Perform(steady_time now, const order_actions& actions) {
  // First, while the read that confirmed the leadership is fresh.
  for (const order_send& send : actions.sends) {
    Send(send);
  }
  if (actions.must_take_epoch) {
    const auto taken = client_.TakeEpoch(host_, now + kAskTimeout);
    if (IsOk(taken)) {
      sender_.OnEpochTaken(now, ValueOf(taken).epoch);
      LogStateChange(
          "orders", "epoch " + std::to_string(ValueOf(taken).epoch) + " taken");
    }
  }
  for (const order_settle& settle : actions.settles) {
    client_.Settle(settle, now + kAskTimeout);
  }
}

void order_driver::Send(const order_send& send) {
  const order_record* record = FindQueued(send.order.id);
  if (record == nullptr) {
    return;
  }
  endpoint_call call;
  call.address = record->target.address;
  call.path = "/control/orders";
  call.headers = {{"Content-Type", "application/json"}};
  nlohmann::json body = JsonOf(send.order);
  body["order_id"] = send.order.id;
  body["fencing"] = send.fencing;
  call.body = body.dump();
  call.timeout = kCallTimeout;
  auto sink = std::make_shared<order_sink>(thread_, send);
  const auto begun = caller_->Start(std::move(call), sink);
  if (!IsOk(begun)) {
    endpoint_call_end end;
    end.is_sent = false;
    end.detail = ErrorOf(begun).detail;
    sink->OnEnd(end);
  }
}

const order_record* order_driver::FindQueued(const std::string& id) const {
  const auto found = std::find_if(
      queued_.begin(), queued_.end(),
      [&](const order_record& record) { return record.order.id == id; });
  return found == queued_.end() ? nullptr : &*found;
}

}  // namespace shallotport
