#include "accounts/allotment_client.h"

#include <utility>

#include "accounts/allotment_messages.h"
#include "fleet/fleet_host.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

namespace {

// Two round trips between failure domains; a small part of any objective.
constexpr std::chrono::milliseconds kCallTimeout{30};
// Without load totals for this long, the leader is assumed to be lost.
constexpr std::chrono::milliseconds kLeaderTimeout{800};
// After a call without an answer, so that few requests wait for a leader that
// is lost.
constexpr std::chrono::milliseconds kPauseAfterTimeout{300};
// Tokens are asked for ahead of need and returned this often.
constexpr std::chrono::milliseconds kTickInterval{50};

}  // namespace

struct allotment_client::pending_call {
  steady_time asked_at{};
  std::vector<allotment_need> needs;
  std::vector<waiting_request> waiting;
};

allotment_client::allotment_client(const clock_source& clock,
                                   fleet_host& fleet,
                                   uint64_t seed,
                                   duration window)
    : clock_(clock),
      fleet_(fleet),
      budget_(seed, window),
      is_alive_(std::make_shared<bool>(true)) {}

allotment_client::~allotment_client() = default;

void allotment_client::SetAccounts(std::span<const account_rules> accounts) {
  budget_.Update(accounts);
}

void allotment_client::SetLeader(steady_time now, const std::string& ip) {
  // A leader that was not heard of may have led, and forgotten, meanwhile.
  if (leader_ip_ != ip || now >= leader_heard_at_ + kLeaderTimeout) {
    budget_.ReportSent();
  }
  leader_ip_ = ip;
  leader_heard_at_ = now;
  budget_.SetLeaderHeard(now);
}

bool allotment_client::OnFrame(steady_time now,
                               uint8_t kind,
                               std::string_view payload) {
  if (kind != static_cast<uint8_t>(fleet_frame::kBusyAccounts)) {
    return false;
  }
  const auto accounts = DecodeBusyAccounts(payload);
  if (IsOk(accounts)) {
    budget_.SetBusy(now, ValueOf(accounts));
  }
  return true;
}

bool allotment_client::IsLeaderHeard(steady_time now) const {
  return !leader_ip_.empty() && now < leader_heard_at_ + kLeaderTimeout &&
         fleet_.hub().IsUp(leader_ip_);
}

bool allotment_client::IsAvailable(steady_time now) const {
  return IsLeaderHeard(now) && now >= paused_until_;
}

void allotment_client::Tick(steady_time now) {
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + kTickInterval;
  budget_.SetHostCount(now, fleet_.entry_host_count());
  if (IsAvailable(now)) {
    Ask(now);
  }
}

void allotment_client::Admit(uint64_t account, verdict_handler on_verdict) {
  const steady_time now = clock_.Now();
  waiting_request request{account, std::move(on_verdict)};
  if (!IsAvailable(now)) {
    ++counters_.decided_alone;
    Decide(request, budget_.AdmitAlone(now, account, IsLeaderHeard(now)));
    return;
  }
  const allotment_verdict verdict = budget_.Admit(now, account);
  if (verdict.decision != allotment_decision::kAsk) {
    Decide(request, verdict);
    return;
  }
  waiting_.push_back(std::move(request));
  Ask(now);
}

void allotment_client::Ask(steady_time now) {
  auto call = std::make_shared<pending_call>();
  call->asked_at = now;
  call->needs = budget_.Needs(now);
  call->waiting = std::exchange(waiting_, {});
  if (call->needs.empty()) {
    return;
  }
  ++counters_.asked;
  fleet_.hub().Call(
      leader_ip_, static_cast<uint8_t>(fleet_call::kRequestAllotment),
      EncodeNeeds(call->needs), kCallTimeout,
      [this, call,
       weak = std::weak_ptr(is_alive_)](const result<std::string>& reply) {
        if (!weak.expired()) {
          OnReply(*call, reply);
        }
      });
}

void allotment_client::OnReply(const pending_call& call,
                               const result<std::string>& reply) {
  const steady_time now = clock_.Now();
  const auto grants =
      IsOk(reply) ? DecodeGrants(ValueOf(reply))
                  : result<std::vector<allotment_grant>>(ErrorOf(reply));
  budget_.EndCall(call.needs, IsOk(grants));
  if (!IsOk(grants)) {
    ++counters_.unanswered;
    paused_until_ = now + kPauseAfterTimeout;
    for (const waiting_request& each : call.waiting) {
      ++counters_.decided_alone;
      Decide(each, budget_.AdmitAlone(now, each.account, IsLeaderHeard(now)));
    }
    return;
  }
  for (const allotment_grant& each : ValueOf(grants)) {
    budget_.Add(now, call.asked_at, each);
  }
  for (const waiting_request& each : call.waiting) {
    Decide(each, budget_.AdmitAsked(now, each.account));
  }
}

void allotment_client::Decide(const waiting_request& request,
                              const allotment_verdict& verdict) {
  ++(verdict.decision == allotment_decision::kAdmitted ? counters_.admitted
                                                       : counters_.refused);
  request.on_verdict(verdict);
}

void allotment_client::Charge(uint64_t account) {
  budget_.Charge(clock_.Now(), account);
}

void allotment_client::GiveBack(uint64_t account,
                                const allotment_verdict& verdict) {
  budget_.GiveBack(clock_.Now(), account, verdict);
}

}  // namespace shallotport
