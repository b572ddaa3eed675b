#include "entry/account_admission.h"

#include <algorithm>
#include <utility>

#include "accounts/allotment_client.h"
#include "entry/decision_log.h"
#include "entry/entry_duty.h"
#include "entry/retry_after.h"

namespace shallotport {

namespace {

// Random addition to the retry delay, so that refused callers do not all return
// for the same token.
constexpr uint64_t kRetryJitterMs = 300;
// Bounds the record of accounts; further ones are counted together.
constexpr size_t kMaxAccounts = 5'000;

}  // namespace

struct account_admission::waiting_request {
  route matched_route;
  caller_request request;
  std::shared_ptr<http_exchange> exchange;
  admitted_handler on_admitted;
  steady_time received_at{};
};

account_admission::account_admission(const clock_source& clock,
                                     decision_log& log,
                                     std::string retry_after_header,
                                     uint64_t seed)
    : clock_(clock),
      log_(log),
      retry_after_header_(std::move(retry_after_header)),
      random_(seed) {}

account_admission::~account_admission() {
  for (const auto& each : waiting_) {
    each->exchange->on_disconnected = nullptr;
  }
}

void account_admission::Begin(const route& matched_route,
                              caller_request request,
                              std::shared_ptr<http_exchange> exchange,
                              admitted_handler on_admitted) {
  const uint64_t account = request.account.digest;
  const bool is_limited = allotments_ != nullptr &&
                          !request.account.name.empty() &&
                          allotments_->HasLimit(account);
  if (!is_limited) {
    on_admitted(matched_route, std::move(request), std::move(exchange));
    return;
  }
  auto waiting = std::make_shared<waiting_request>(
      waiting_request{matched_route, std::move(request), std::move(exchange),
                      std::move(on_admitted), clock_.Now()});
  waiting_.insert(waiting);
  waiting->exchange->on_disconnected = [this, weak = std::weak_ptr(waiting)] {
    waiting_.erase(weak.lock());
  };
  allotments_->Admit(account, [this, account, allotments = allotments_,
                               weak = std::weak_ptr(waiting)](
                                  const allotment_verdict& verdict) {
    if (const auto open = weak.lock()) {
      OnVerdict(open, verdict);
    } else {
      // The caller has left: its request is not sent.
      allotments->GiveBack(account, verdict);
    }
  });
}

void account_admission::OnVerdict(
    const std::shared_ptr<waiting_request>& waiting,
    const allotment_verdict& verdict) {
  waiting_.erase(waiting);
  waiting->exchange->on_disconnected = nullptr;
  caller_request& request = waiting->request;
  const std::string& name = request.account.name;
  const bool has_room = uses_.size() < kMaxAccounts || uses_.contains(name);
  account_use& use = uses_[has_room ? name : std::string()];
  if (verdict.decision != allotment_decision::kAdmitted) {
    ++use.refused;
    Refuse(*waiting, verdict);
    return;
  }
  ++use.admitted;
  request.admission = verdict;
  // The caller's time limit runs since its request arrived.
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.Now() - waiting->received_at);
  if (request.time_limit.count() > 0) {
    request.time_limit =
        std::max(request.time_limit - waited, std::chrono::milliseconds(1));
  }
  waiting->on_admitted(waiting->matched_route, std::move(request),
                       std::move(waiting->exchange));
}

void account_admission::Refuse(waiting_request& waiting,
                               const allotment_verdict& verdict) {
  const auto retry_after_ms = static_cast<int64_t>(
      verdict.retry_after_ms + UniformBelow(random_, kRetryJitterMs));
  log_.LogRequest("request_refused", {{"request", waiting.request.id.text()},
                                      {"route", waiting.matched_route.name},
                                      {"account", waiting.request.account.name},
                                      {"status", int64_t{429}},
                                      {"reason", "over_allotment"},
                                      {"retry_after_ms", retry_after_ms}});
  header_list headers;
  headers.Add(retry_after_header_, FormatSeconds(retry_after_ms));
  waiting.exchange->Respond(429, headers, {});
}

void account_admission::OnRepeated(const caller_request& request) {
  if (allotments_ != nullptr && !request.account.name.empty()) {
    allotments_->Charge(request.account.digest);
  }
}

void account_admission::OnNotExecuted(const caller_request& request) {
  if (allotments_ != nullptr && !request.account.name.empty()) {
    allotments_->GiveBack(request.account.digest, request.admission);
  }
}

std::vector<account_admission::account_use> account_admission::MostUsed(
    size_t count) const {
  std::vector<account_use> uses;
  for (const auto& [name, use] : uses_) {
    uses.push_back({name, use.admitted, use.refused});
  }
  std::sort(uses.begin(), uses.end(), [](const auto& a, const auto& b) {
    const uint64_t total_a = a.admitted + a.refused;
    const uint64_t total_b = b.admitted + b.refused;
    return std::pair(a.account.empty(), total_b) <
           std::pair(b.account.empty(), total_a);
  });
  account_use others;
  for (size_t i = std::min(count, uses.size()); i < uses.size(); ++i) {
    others.admitted += uses[i].admitted;
    others.refused += uses[i].refused;
  }
  uses.resize(std::min(count, uses.size()));
  if (others.admitted + others.refused > 0) {
    uses.push_back(std::move(others));
  }
  return uses;
}

}  // namespace shallotport
