#include "serving/batch_item_claims.h"

#include <utility>

namespace shallotport {

namespace {

constexpr duration kClaimTimeout = std::chrono::seconds(3);
constexpr duration kCallTimeout = std::chrono::minutes(10);

}  // namespace

batch_item_claims::batch_item_claims(online_claims& claims,
                                     const clock_source& clock,
                                     const host_id& host,
                                     incarnation started)
    : claims_(claims),
      clock_(clock),
      attempt_prefix_("batch-claim." + host.text() + "." +
                      std::to_string(started) + ".") {}

claim_subject batch_item_claims::SubjectOf(const item_ref& item,
                                           const leased_job& job,
                                           const std::string& body) const {
  claim_subject subject;
  subject.account = job.account;
  subject.key = "batch " + job.id.text() + " " + std::to_string(item.index);
  subject.method = "POST";
  subject.path = job.path;
  subject.body = body;
  return subject;
}

claim_subject batch_item_claims::TakeBegun(const item_ref& item,
                                           const leased_job& job) {
  const std::lock_guard lock(mutex_);
  auto begun = begun_.extract(item);
  return begun.empty() ? SubjectOf(item, job, "") : std::move(begun.mapped());
}

item_claim_reply batch_item_claims::Begin(const begin_item_claim& claim) {
  claim_subject subject = SubjectOf(claim.item, *claim.job, claim.body);
  {
    const std::lock_guard lock(mutex_);
    subject.attempt = attempt_id(attempt_prefix_ + std::to_string(++attempts_));
  }
  const steady_time now = clock_.Now();
  claim_decided decided =
      claims_.Begin(subject, claim.endpoint, claim.started, now + kClaimTimeout,
                    now + kCallTimeout);
  if (decided.decision == claim_decision::kRecorded) {
    return {item_claim::kAnswered, std::move(decided.recorded.body)};
  }
  if (decided.decision == claim_decision::kGranted) {
    const std::lock_guard lock(mutex_);
    begun_[claim.item] = std::move(subject);
    return {item_claim::kMayRun, ""};
  }
  const error_kind kind = decided.reason.kind;
  const bool is_lost = kind == error_kind::kOutcomeUnknown ||
                       kind == error_kind::kKeyExpired ||
                       kind == error_kind::kConflict;
  return {is_lost ? item_claim::kUnknown : item_claim::kUnavailable, ""};
}

void batch_item_claims::Finish(const finish_item_claim& claim) {
  endpoint_response answer;
  answer.http_status = 200;
  answer.content_type = "application/json";
  answer.body = claim.answer;
  claims_.Finish(TakeBegun(claim.item, *claim.job), answer);
}

void batch_item_claims::Release(const release_item_claim& claim) {
  claims_.Release(TakeBegun(claim.item, *claim.job));
}

void batch_item_claims::Abandon(const abandon_item_claim& claim) {
  claims_.Abandon(TakeBegun(claim.item, *claim.job));
}

}  // namespace shallotport
