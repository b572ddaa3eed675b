#include "claims/claim_coordinator.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotport {
namespace {

using std::chrono::milliseconds;

constexpr size_t kWakeUpCapacity = 64;
constexpr milliseconds kMaxSleep{1'000};

// When the log gave no reply, it is not known whether an earlier attempt under
// the key was executed: the caller gets kNoQuorum.
error BeginErrorOf(const error& failure) {
  if (failure.kind == error_kind::kNotLeader ||
      failure.kind == error_kind::kOutcomeUnknown ||
      failure.kind == error_kind::kDeadlineExceeded) {
    return MakeError(error_kind::kNoQuorum, failure.detail);
  }
  return failure;
}

bool HasResult(const result<claim_reply>& reply, claim_result expected) {
  return IsOk(reply) && ValueOf(reply).result == expected;
}

}  // namespace

claim_coordinator::claim_coordinator(claim_coordinator_options options,
                                     replicated_log& log,
                                     const clock_source& clock)
    : options_(std::move(options)),
      client_(log),
      clock_(clock),
      tracker_(options_.tracker),
      host_incarnation_(options_.started),
      duty_(
          clock,
          kWakeUpCapacity,
          [](steady_time, wake_up) {},
          [this](steady_time now) { return ProposeDueSettlements(now); }) {}

claim_coordinator::~claim_coordinator() {
  Stop();
}

void claim_coordinator::Start() {
  duty_.Start();
}

void claim_coordinator::Stop() {
  duty_.Stop();
}

claim_begin claim_coordinator::MakeBegin(const claim_request& request,
                                         steady_time now,
                                         steady_time call_deadline) const {
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      std::max(call_deadline - now, duration(0)));
  claim_begin begin;
  begin.key = MakeClaimKey(request.account, request.idempotency_key);
  begin.request = request.request;
  begin.host = options_.host;
  begin.attempt = request.attempt;
  begin.endpoint = request.endpoint;
  begin.open_timeout_ms = (remaining + options_.open_timeout_margin).count();
  begin.retention_ms = options_.retention.count();
  const std::lock_guard lock(mutex_);
  begin.host_incarnation = host_incarnation_;
  return begin;
}

result<claim_permission> claim_coordinator::Begin(const claim_request& request,
                                                  steady_time send_deadline,
                                                  steady_time call_deadline) {
  claim_begin begin = MakeBegin(request, clock_.Now(), call_deadline);
  {
    const std::lock_guard lock(mutex_);
    const status begun =
        tracker_.Begin(request.attempt, begin.key, send_deadline);
    if (!IsOk(begun)) {
      return ErrorOf(begun);
    }
  }
  result<claim_reply> reply = client_.Begin(begin, send_deadline);
  if (HasResult(reply, claim_result::kStaleHost)) {
    {
      const std::lock_guard lock(mutex_);
      host_incarnation_ =
          std::max(host_incarnation_, ValueOf(reply).known_incarnation);
      begin.host_incarnation = host_incarnation_;
    }
    reply = client_.Begin(begin, send_deadline);
  }
  if (MaySend(request.attempt, reply)) {
    return claim_permission{claim_granted{}};
  }
  if (!IsOk(reply)) {
    return BeginErrorOf(ErrorOf(reply));
  }
  if (ValueOf(reply).response) {
    return claim_permission{*std::move(ValueOf(reply).response)};
  }
  if (HasResult(reply, claim_result::kGranted)) {
    return MakeError(error_kind::kDeadlineUnreachable,
                     "claimed too late to be sent");
  }
  return ErrorOfResult(ValueOf(reply));
}

bool claim_coordinator::MaySend(const attempt_id& attempt,
                                const result<claim_reply>& reply) {
  bool may_send = false;
  {
    const std::lock_guard lock(mutex_);
    may_send = tracker_.MaySend(clock_.Now(), attempt, reply);
  }
  if (!may_send) {
    duty_.TryPush(wake_up{});
  }
  return may_send;
}

bool claim_coordinator::Finish(const attempt_id& attempt,
                               claim_response response,
                               steady_time wait_until) {
  {
    const std::lock_guard lock(mutex_);
    tracker_.Finish(clock_.Now(), attempt, std::move(response));
  }
  return ProposeSettlement(attempt, wait_until);
}

bool claim_coordinator::Release(const attempt_id& attempt,
                                steady_time wait_until) {
  {
    const std::lock_guard lock(mutex_);
    tracker_.Release(clock_.Now(), attempt);
  }
  return ProposeSettlement(attempt, wait_until);
}

void claim_coordinator::StopTracking(const attempt_id& attempt) {
  const std::lock_guard lock(mutex_);
  tracker_.StopTracking(attempt);
}

bool claim_coordinator::ProposeSettlement(const attempt_id& attempt,
                                          steady_time wait_until) {
  std::optional<claim_settlement> due;
  {
    const std::lock_guard lock(mutex_);
    due = tracker_.TakeDueSettlement(clock_.Now(), attempt);
  }
  if (!due) {
    return false;
  }
  const auto reply = client_.Propose(due->command, wait_until);
  duty_.TryPush(wake_up{});
  const std::lock_guard lock(mutex_);
  tracker_.OnSettlementReply(attempt, reply);
  return tracker_.IsSettled(attempt);
}

steady_time claim_coordinator::ProposeDueSettlements(steady_time now) {
  std::vector<claim_settlement> due;
  {
    const std::lock_guard lock(mutex_);
    due = tracker_.TakeDueSettlements(now);
  }
  for (const claim_settlement& settlement : due) {
    const auto reply = client_.Propose(settlement.command,
                                       clock_.Now() + options_.settle_timeout);
    const std::lock_guard lock(mutex_);
    tracker_.OnSettlementReply(settlement.attempt, reply);
  }
  const std::lock_guard lock(mutex_);
  return std::min(tracker_.next_proposal_at(), clock_.Now() + kMaxSleep);
}

void claim_coordinator::WriteState(nlohmann::json& out) const {
  const std::lock_guard lock(mutex_);
  out["host_incarnation"] = host_incarnation_;
  tracker_.WriteState(out);
}

}  // namespace shallotport
