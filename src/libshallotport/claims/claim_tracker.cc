#include "claims/claim_tracker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotport {
namespace {

// Whether the log certainly holds no open claim of the attempt, now and later.
// kNotLeader means that the command was not proposed.
bool IsCertainlyUnclaimed(const result<claim_reply>& reply) {
  if (!IsOk(reply)) {
    return ErrorOf(reply).kind == error_kind::kNotLeader;
  }
  return ValueOf(reply).result != claim_result::kGranted;
}

}  // namespace

status claim_tracker::Begin(const attempt_id& attempt,
                            const claim_key& key,
                            steady_time send_deadline) {
  if (attempts_.size() >= options_.max_attempts) {
    return MakeError(error_kind::kOverLimit, "too many unsettled claims");
  }
  tracked_attempt tracked;
  tracked.key = key;
  tracked.send_deadline = send_deadline;
  if (!attempts_.emplace(attempt, tracked).second) {
    return MakeError(error_kind::kConflict, "the attempt is already known");
  }
  ++begun_;
  return success{};
}

bool claim_tracker::MaySend(steady_time now,
                            const attempt_id& attempt,
                            const result<claim_reply>& reply) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() ||
      found->second.phase != attempt_phase::kProposing) {
    return false;
  }
  tracked_attempt& tracked = found->second;
  if (IsCertainlyUnclaimed(reply)) {
    attempts_.erase(found);
    return false;
  }
  if (IsOk(reply) && now < tracked.send_deadline) {
    tracked.phase = attempt_phase::kSent;
    ++sent_;
    return true;
  }
  ++given_up_;
  BeginSettling(now, tracked, claim_release{tracked.key, attempt});
  return false;
}

void claim_tracker::Finish(steady_time now,
                           const attempt_id& attempt,
                           claim_response response) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.phase != attempt_phase::kSent) {
    return;
  }
  BeginSettling(now, found->second,
                claim_finish{found->second.key, attempt, std::move(response)});
}

void claim_tracker::Release(steady_time now, const attempt_id& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() ||
      found->second.phase == attempt_phase::kSettling) {
    return;
  }
  BeginSettling(now, found->second, claim_release{found->second.key, attempt});
}

void claim_tracker::StopTracking(const attempt_id& attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() && found->second.phase == attempt_phase::kSent) {
    attempts_.erase(found);
    ++untracked_;
  }
}

void claim_tracker::BeginSettling(steady_time now,
                                  tracked_attempt& attempt,
                                  claim_command settlement) {
  attempt.phase = attempt_phase::kSettling;
  attempt.settlement = std::move(settlement);
  attempt.next_proposal_at = now;
  attempt.retry_delay = options_.initial_retry_delay;
}

claim_settlement claim_tracker::TakeSettlement(steady_time now,
                                               const attempt_id& id,
                                               tracked_attempt& attempt) {
  attempt.next_proposal_at = now + attempt.retry_delay;
  attempt.retry_delay =
      std::min(2 * attempt.retry_delay, options_.max_retry_delay);
  ++settlement_proposals_;
  return {id, attempt.settlement};
}

std::vector<claim_settlement> claim_tracker::TakeDueSettlements(
    steady_time now) {
  std::vector<claim_settlement> due;
  for (auto& [id, attempt] : attempts_) {
    if (attempt.phase == attempt_phase::kSettling &&
        attempt.next_proposal_at <= now) {
      due.push_back(TakeSettlement(now, id, attempt));
    }
  }
  return due;
}

std::optional<claim_settlement> claim_tracker::TakeDueSettlement(
    steady_time now,
    const attempt_id& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() ||
      found->second.phase != attempt_phase::kSettling ||
      found->second.next_proposal_at > now) {
    return std::nullopt;
  }
  return TakeSettlement(now, attempt, found->second);
}

steady_time claim_tracker::next_proposal_at() const {
  steady_time next = steady_time::max();
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.phase == attempt_phase::kSettling) {
      next = std::min(next, attempt.next_proposal_at);
    }
  }
  return next;
}

void claim_tracker::OnSettlementReply(const attempt_id& attempt,
                                      const result<claim_reply>& reply) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() &&
      found->second.phase == attempt_phase::kSettling && IsOk(reply)) {
    attempts_.erase(found);
  }
}

void claim_tracker::WriteState(nlohmann::json& out) const {
  size_t settling = 0;
  for (const auto& [id, attempt] : attempts_) {
    settling += attempt.phase == attempt_phase::kSettling ? 1 : 0;
  }
  nlohmann::json& counters = out["counters"];
  counters["claim_attempts_tracked"] = attempts_.size();
  counters["claim_attempts_settling"] = settling;
  counters["claim_attempts_begun"] = begun_;
  counters["claim_attempts_sent"] = sent_;
  counters["claim_attempts_given_up"] = given_up_;
  counters["claim_attempts_forgotten"] = untracked_;
  counters["claim_settlements_proposed"] = settlement_proposals_;
}

}  // namespace shallotport
