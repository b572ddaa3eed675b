#include "log_claims.h"

#include "http/http_message.h"

namespace shallotport {

namespace {

constexpr std::string_view kContentType = "Content-Type";

endpoint_response AnswerOf(const claim_response& recorded) {
  endpoint_response answer;
  answer.http_status = recorded.http_status;
  for (const claim_header& header : recorded.headers) {
    if (header.name == kContentType) {
      answer.content_type = header.value;
    }
  }
  answer.body = recorded.body;
  return answer;
}

claim_decided Refused(error reason) {
  claim_decided decided;
  decided.decision = claim_decision::kRefused;
  decided.reason = std::move(reason);
  return decided;
}

// The answer to a resend of a call that was run.
claim_decided Recorded(const claim_response& recorded) {
  if (recorded.is_body_dropped) {
    return Refused(
        MakeError(error_kind::kOutcomeUnknown,
                  "the call was run; its answer was too large to be recorded"));
  }
  claim_decided decided;
  decided.decision = claim_decision::kRecorded;
  decided.recorded = AnswerOf(recorded);
  return decided;
}

}  // namespace

claim_decided log_claims::Begin(const claim_subject& subject,
                                const endpoint_id& endpoint,
                                incarnation /*started*/,
                                steady_time deadline,
                                steady_time call_deadline) {
  claim_request request;
  request.account = subject.account;
  request.idempotency_key = subject.key;
  request.request =
      MakeRequestDigest(subject.method, subject.path, subject.body);
  request.attempt = subject.attempt;
  request.endpoint = endpoint;
  const result<claim_permission> permission =
      coordinator_.Begin(request, deadline, call_deadline);
  if (!IsOk(permission)) {
    return Refused(ErrorOf(permission));
  }
  if (const auto* recorded =
          std::get_if<claim_response>(&ValueOf(permission))) {
    return Recorded(*recorded);
  }
  claim_decided decided;
  decided.decision = claim_decision::kGranted;
  return decided;
}

claim_decided log_claims::Lookup(const claim_subject& subject,
                                 steady_time deadline) {
  claim_lookup lookup;
  lookup.key = MakeClaimKey(subject.account, subject.key);
  lookup.request =
      MakeRequestDigest(subject.method, subject.path, subject.body);
  const result<claim_reply> reply = client_.Lookup(lookup, deadline);
  if (!IsOk(reply)) {
    // Without the log nobody can say that no earlier try has run.
    return Refused(MakeError(error_kind::kNoQuorum, ErrorOf(reply).detail));
  }
  const claim_reply& known = ValueOf(reply);
  if (known.result == claim_result::kResponseRecorded && known.response) {
    return Recorded(*known.response);
  }
  if (known.result == claim_result::kUnclaimed) {
    return claim_decided{};
  }
  return Refused(ErrorOfResult(known));
}

bool log_claims::Finish(const claim_subject& subject,
                        const endpoint_response& answer) {
  claim_response recorded;
  recorded.http_status = static_cast<uint16_t>(answer.http_status);
  recorded.headers.push_back({std::string(kContentType), answer.content_type});
  recorded.body = answer.body;
  return coordinator_.Finish(subject.attempt, std::move(recorded),
                             clock_.Now() + record_timeout_);
}

void log_claims::Release(const claim_subject& subject) {
  // The caller is told "not run" at once; the release goes on behind it.
  coordinator_.Release(subject.attempt, clock_.Now());
}

void log_claims::Abandon(const claim_subject& subject) {
  coordinator_.StopTracking(subject.attempt);
}

}  // namespace shallotport
