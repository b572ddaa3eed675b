#include "consensus/forwarding_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/codec.h"
#include "consensus/consensus_core.h"
#include "consensus/forwarding_log_internal.h"
#include "consensus/session_table.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kMaxBackoff{200};

// Errors after which a retry at another member, or later at the same one, may
// succeed.
bool IsRetryable(error_kind kind) {
  return kind == error_kind::kNotLeader || kind == error_kind::kNoQuorum ||
         kind == error_kind::kStorageFull || kind == error_kind::kNoCapacity;
}

// Errors which guarantee that the member did not propose the command.
bool IsSurelyNotProposed(error_kind kind) {
  return Answer(kind).run == run_outcome::kNotRun;
}

}  // namespace

bool forwarding_log::implementation::IsStopped() const {
  const std::lock_guard lock(mutex_);
  return is_stopped_;
}

uint64_t forwarding_log::implementation::Count(uint64_t& counter, uint64_t by) {
  const std::lock_guard lock(mutex_);
  counter += by;
  return counter;
}

// Waits for a free lane and returns it with the sequence of its next proposal.
std::optional<proposal_origin> forwarding_log::implementation::AcquireLane(
    steady_time deadline) {
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline,
                      [this] { return !free_lanes_.empty() || is_stopped_; });
  if (free_lanes_.empty() || is_stopped_) {
    return std::nullopt;
  }
  proposal_origin origin;
  origin.host = options_.host;
  origin.host_incarnation = options_.host_incarnation;
  origin.lane = free_lanes_.back();
  origin.sequence = ++sequences_[origin.lane];
  free_lanes_.pop_back();
  return origin;
}

void forwarding_log::implementation::ReleaseLane(
    const proposal_origin& origin) {
  {
    const std::lock_guard lock(mutex_);
    free_lanes_.push_back(origin.lane);
  }
  changed_.notify_all();
}

result<std::string> forwarding_log::implementation::Propose(
    replicated_slice slice,
    std::string command,
    steady_time deadline) {
  const auto origin = AcquireLane(deadline);
  if (!origin) {
    return MakeError(error_kind::kNotLeader, "no lane was free in time");
  }
  forwarding_request request;
  request.content = {*origin, slice, std::move(command)};
  result<std::string> outcome = Call(std::move(request), deadline);
  ReleaseLane(*origin);
  return outcome;
}

// Retries until a reply is final or the deadline passes.
result<std::string> forwarding_log::implementation::Call(
    forwarding_request request,
    steady_time deadline) {
  Count(calls_);
  call_progress progress;
  while (clock_.Now() < deadline && !IsStopped()) {
    if (auto outcome = Attempt(request, progress, deadline)) {
      return *std::move(outcome);
    }
  }
  if (progress.may_be_proposed) {
    return MakeError(error_kind::kNoQuorum, progress.last_error.detail);
  }
  const bool is_rejected =
      progress.last_error.kind == error_kind::kStorageFull ||
      progress.last_error.kind == error_kind::kNoCapacity;
  return is_rejected
             ? progress.last_error
             : MakeError(error_kind::kNotLeader, progress.last_error.detail);
}

std::optional<result<std::string>> forwarding_log::implementation::Attempt(
    forwarding_request& request,
    call_progress& progress,
    steady_time deadline) {
  ChooseTarget(progress);
  const auto waiting = std::make_shared<blocking_reply>();
  {
    const std::lock_guard lock(mutex_);
    request.call_id = next_call_id_++;
    request.may_relay = progress.target != selector_.leader();
    waiting_calls_[request.call_id] = waiting;
    ++attempts_;
  }
  SendAttempt(request, progress.target, waiting);
  const steady_time until =
      std::min(deadline, clock_.Now() + options_.attempt_timeout);
  auto reply = waiting->WaitUntil(until);
  {
    const std::lock_guard lock(mutex_);
    waiting_calls_.erase(request.call_id);
  }
  const bool has_effect = request.kind != forwarded_call::kQuery;
  if (!reply) {
    Count(unanswered_);
    progress.may_be_proposed |= has_effect;
    progress.last_error = MakeError(error_kind::kNoQuorum,
                                    progress.target.text() + " did not answer");
    const host_id unresponsive = std::exchange(progress.target, host_id());
    const std::lock_guard lock(mutex_);
    selector_.OnUnanswered(clock_.Now(), unresponsive);
    return std::nullopt;
  }
  if (IsOk(*reply)) {
    return reply;
  }
  progress.last_error = ErrorOf(*reply);
  progress.may_be_proposed |=
      has_effect && !IsSurelyNotProposed(progress.last_error.kind);
  if (!IsRetryable(progress.last_error.kind)) {
    return reply;
  }
  const host_id known = leader();
  const bool is_redirected =
      !known.IsEmpty() && known != progress.target && !IsInBackoff(known);
  progress.target = is_redirected ? known : host_id();
  if (!is_redirected) {
    duration pause;
    {
      const std::lock_guard lock(mutex_);
      pause = progress.backoff / 2 +
              duration(UniformBelow(
                  random_, static_cast<uint64_t>(progress.backoff.count())));
    }
    progress.backoff = std::min<duration>(2 * progress.backoff, kMaxBackoff);
    PauseUntil(std::min(deadline, clock_.Now() + pause));
  }
  return std::nullopt;
}

void forwarding_log::implementation::PauseUntil(steady_time until) {
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, until, [this] { return is_stopped_; });
}

void forwarding_log::implementation::ChooseTarget(call_progress& progress) {
  if (!progress.target.IsEmpty()) {
    return;
  }
  const host_id own_view =
      options_.local == nullptr ? host_id() : options_.local->leader();
  const std::lock_guard lock(mutex_);
  progress.target = selector_.Choose(clock_.Now(), own_view);
}

void forwarding_log::implementation::SendAttempt(
    const forwarding_request& request,
    const host_id& target,
    const std::shared_ptr<blocking_reply>& waiting) {
  if (target != options_.host) {
    send_(target, Encode(forwarding_message(request)));
    return;
  }
  if (options_.local == nullptr) {
    waiting->Set(MakeError(error_kind::kNotLeader, "no member on this host"));
    return;
  }
  SubmitLocally(request,
                [waiting](auto reply) { waiting->Set(std::move(reply)); });
}

void forwarding_log::implementation::SubmitLocally(
    const forwarding_request& request,
    replica::reply_function reply) {
  switch (request.kind) {
    case forwarded_call::kProposal:
      options_.local->SubmitProposal(request.content, std::move(reply));
      return;
    case forwarded_call::kQuery:
      options_.local->SubmitQuery(request.content.slice,
                                  request.content.command, std::move(reply));
      return;
    case forwarded_call::kMembership:
      options_.local->SubmitStep(static_cast<membership_step>(request.step),
                                 request.step_host, std::move(reply));
      return;
  }
  reply(MakeError(error_kind::kInvalidRequest, "unknown kind of call"));
}

bool forwarding_log::implementation::IsInBackoff(const host_id& host) const {
  const std::lock_guard lock(mutex_);
  return selector_.IsInBackoff(clock_.Now(), host);
}

host_id forwarding_log::implementation::leader() const {
  if (options_.local != nullptr) {
    host_id known = options_.local->leader();
    if (!known.IsEmpty()) {
      return known;
    }
  }
  const std::lock_guard lock(mutex_);
  return selector_.leader();
}

std::vector<host_id> forwarding_log::implementation::members() const {
  if (options_.local != nullptr) {
    return options_.local->members();
  }
  const std::lock_guard lock(mutex_);
  return selector_.members();
}

void forwarding_log::implementation::Stop() {
  std::map<uint64_t, std::shared_ptr<blocking_reply>> waiting;
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    waiting = waiting_calls_;
  }
  changed_.notify_all();
  for (const auto& [call, reply] : waiting) {
    reply->Set(MakeError(error_kind::kNoQuorum, "the host is shutting down"));
  }
}

void forwarding_log::implementation::WriteState(nlohmann::json& out) const {
  out["leader"] = leader().text();
  const std::lock_guard lock(mutex_);
  nlohmann::json& counters = out["counters"];
  counters["log_calls"] = calls_;
  counters["log_attempts"] = attempts_;
  counters["log_calls_served"] = served_;
  counters["log_attempts_unanswered"] = unanswered_;
  counters["log_calls_relayed"] = relayed_;
  counters["log_replies_unknown"] = unknown_replies_;
  counters["log_calls_waiting"] = waiting_calls_.size();
}

result<std::unique_ptr<forwarding_log>> forwarding_log::Create(
    forwarding_options options,
    const clock_source& clock,
    send_function send) {
  const bool is_reachable =
      options.local != nullptr || !options.members.empty();
  if (options.host.IsEmpty() || !is_reachable) {
    return MakeError(error_kind::kInvalidRequest,
                     "a forwarding log needs a host id and members");
  }
  if (options.lanes == 0 || options.lanes > session_table::kMaxLanes) {
    return MakeError(error_kind::kInvalidRequest, "too many lanes");
  }
  return std::unique_ptr<forwarding_log>(
      new forwarding_log(std::make_shared<implementation>(
          std::move(options), clock, std::move(send))));
}

forwarding_log::forwarding_log(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

forwarding_log::~forwarding_log() {
  Stop();
}

void forwarding_log::OnPeerMessage(const host_id& from,
                                   std::string_view bytes) {
  implementation_->OnPeerMessage(from, bytes);
}

result<std::string> forwarding_log::Propose(replicated_slice slice,
                                            std::string command,
                                            steady_time deadline) {
  return implementation_->Propose(slice, std::move(command), deadline);
}

result<std::string> forwarding_log::Query(replicated_slice slice,
                                          std::string query,
                                          steady_time deadline) {
  forwarding_request request;
  request.kind = forwarded_call::kQuery;
  request.content.slice = slice;
  request.content.command = std::move(query);
  return implementation_->Call(std::move(request), deadline);
}

status forwarding_log::ChangeMembership(membership_step step,
                                        const host_id& host,
                                        steady_time deadline) {
  forwarding_request request;
  request.kind = forwarded_call::kMembership;
  request.step = static_cast<uint8_t>(step);
  request.step_host = host;
  const auto reply = implementation_->Call(std::move(request), deadline);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return success{};
}

void forwarding_log::Stop() {
  implementation_->Stop();
}

host_id forwarding_log::leader() const {
  return implementation_->leader();
}

std::vector<host_id> forwarding_log::members() const {
  return implementation_->members();
}

void forwarding_log::WriteState(nlohmann::json& out) const {
  implementation_->WriteState(out);
}

}  // namespace shallotport
