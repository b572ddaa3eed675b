#include "routing/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace shallotport {

namespace {

// Seconds of unused rate that an account may save up.
constexpr double kBurstSeconds = 1.0;
constexpr std::chrono::milliseconds kShortestRetryAfter{10};
constexpr std::chrono::milliseconds kConcurrencyRetryAfter{200};

double SecondsOf(duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

account_limiter::account_limiter(host_id self) : self_(std::move(self)) {}

void account_limiter::SetConfiguration(const configuration& settings) {
  std::unordered_map<account_id, account_state> next;
  for (const account_configuration& account : settings.accounts) {
    const auto known = accounts_.find(account.id);
    account_state state;
    if (known != accounts_.end()) {
      state = known->second;
    } else {
      state.tokens = account.requests_per_second * kBurstSeconds;
    }
    state.rate = account.requests_per_second;
    state.concurrency = account.concurrent_requests;
    next.emplace(account.id, state);
  }
  accounts_ = std::move(next);
}

void account_limiter::SetHostCount(uint32_t hosts) {
  hosts_ = std::max<uint32_t>(hosts, 1);
}

void account_limiter::Refill(steady_time now, account_state& account) const {
  const double share = account.rate / hosts_;
  const double most = std::max(1.0, share * kBurstSeconds);
  const double added = share * SecondsOf(now - account.refilled_at);
  account.tokens = std::min(most, account.tokens + added);
  account.refilled_at = now;
}

status account_limiter::Acquire(steady_time now, const account_id& account) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return success{};
  }
  account_state& state = found->second;
  Refill(now, state);
  if (state.in_flight >=
      std::max(1.0, std::floor(state.concurrency / hosts_))) {
    ++refused_;
    return error{error_kind::kOverLimit, "too many concurrent requests",
                 kConcurrencyRetryAfter};
  }
  if (state.tokens < 1) {
    ++refused_;
    const double share = std::max(1e-3, state.rate / hosts_);
    const auto wait = std::chrono::milliseconds(
        static_cast<int64_t>(std::ceil((1 - state.tokens) / share * 1e3)));
    return error{error_kind::kOverLimit, "request rate above the limit",
                 std::max(kShortestRetryAfter, wait)};
  }
  state.tokens -= 1;
  ++state.in_flight;
  return success{};
}

void account_limiter::Release(const account_id& account) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

void account_limiter::WriteState(nlohmann::json& out) const {
  out["hosts"] = hosts_;
  out["accounts"] = accounts_.size();
  out["counters"]["refused"] = refused_;
}

}  // namespace shallotport
