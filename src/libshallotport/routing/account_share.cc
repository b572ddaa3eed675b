#include "routing/account_share.h"

#include <algorithm>
#include <cmath>

namespace shallotport {

namespace {

// Time constant of the exponentially decaying demand.
constexpr double kDemandTimeConstantSeconds = 1.0;
// A lender keeps this multiple of its own demand for itself.
constexpr double kOwnDemandFactor = 1.25;
// A host requests loans for this multiple of its demand.
constexpr double kNeedFactor = 1.1;
// A loan is not renewed if the peer wants less than this fraction of it.
constexpr double kMinRenewedShare = 0.5;
// Rate in requests per second below which a loan is not worth a message.
constexpr double kMinLoanRate = 0.05;

double ToSeconds(duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

account_share::account_share(const limit_amount& base,
                             steady_time now,
                             steady_time loans_unknown_until)
    : base_(base),
      loans_unknown_until_(loans_unknown_until),
      refilled_at_(now),
      demand_updated_at_(now) {
  tokens_ = std::max(1.0, OwnShareAt(now).rate * kBurstSeconds);
}

void account_share::SetBase(steady_time now, const limit_amount& base) {
  Refill(now);
  base_ = base;
}

limit_amount account_share::SumOfActive(const std::vector<loan>& loans,
                                        steady_time now) {
  limit_amount sum;
  for (const loan& entry : loans) {
    if (now < entry.until) {
      sum += entry.amount;
    }
  }
  return sum;
}

limit_amount account_share::OwnShareAt(steady_time now) const {
  if (now < loans_unknown_until_) {
    return {base_.rate * kReservedShare, base_.concurrency * kReservedShare};
  }
  limit_amount own = base_;
  own -= SumOfActive(lent_, now);
  return {std::max(0.0, own.rate), std::max(0.0, own.concurrency)};
}

limit_amount account_share::ShareAt(steady_time now) const {
  limit_amount share = OwnShareAt(now);
  share += SumOfActive(borrowed_, now);
  return share;
}

void account_share::Refill(steady_time now) {
  // Between two calls loans can only expire. Refills at the lowest share of the
  // period: loans to others as at its start, loans from others as at its end.
  const double share =
      OwnShareAt(refilled_at_).rate + SumOfActive(borrowed_, now).rate;
  const double max_tokens = std::max(1.0, share * kBurstSeconds);
  const double added = share * ToSeconds(now - refilled_at_);
  tokens_ = std::min(max_tokens, tokens_ + added);
  refilled_at_ = now;
}

double account_share::DemandAt(steady_time now) const {
  return demand_rate_ * std::exp(-ToSeconds(now - demand_updated_at_) /
                                 kDemandTimeConstantSeconds);
}

void account_share::RecordDemand(steady_time now) {
  const double decay = std::exp(-ToSeconds(now - demand_updated_at_) /
                                kDemandTimeConstantSeconds);
  demand_rate_ = demand_rate_ * decay + 1 / kDemandTimeConstantSeconds;
  const double in_flight = in_flight_;
  peak_in_flight_ = std::max(peak_in_flight_ * decay, in_flight + 1);
  demand_updated_at_ = now;
}

bool account_share::TryAcquire(steady_time now) {
  RecordDemand(now);
  Refill(now);
  const double slots = std::max(1.0, std::floor(ShareAt(now).concurrency));
  if (in_flight_ >= slots) {
    peak_in_flight_ = std::max(peak_in_flight_, 2.0 * in_flight_ + 1);
    return false;
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  ++in_flight_;
  return true;
}

void account_share::Release() {
  if (in_flight_ > 0) {
    --in_flight_;
  }
}

duration account_share::TimeToNextToken(steady_time now) const {
  if (tokens_ >= 1) {
    return duration{0};
  }
  const double rate = std::max(1e-3, ShareAt(now).rate);
  return duration(static_cast<int64_t>((1 - tokens_) / rate * 1e6));
}

limit_amount account_share::Lend(steady_time now,
                                 const host_id& peer,
                                 const limit_amount& wanted) {
  if (now < loans_unknown_until_) {
    return {};
  }
  Refill(now);
  std::erase_if(lent_, [now](const loan& entry) { return now >= entry.until; });
  auto known =
      std::find_if(lent_.begin(), lent_.end(),
                   [&peer](const loan& entry) { return entry.peer == peer; });
  if (known == lent_.end()) {
    lent_.push_back({peer, {}, now});
    known = lent_.end() - 1;
  }
  limit_amount lent_to_others = SumOfActive(lent_, now);
  lent_to_others -= known->until > now ? known->amount : limit_amount{};
  const double reserved_rate =
      std::max(kReservedShare * base_.rate, kOwnDemandFactor * DemandAt(now));
  const double reserved_concurrency =
      std::max(kReservedShare * base_.concurrency,
               std::max<double>(in_flight_, peak_in_flight_));
  const limit_amount spare{
      std::max(0.0, base_.rate - lent_to_others.rate - reserved_rate),
      std::max(0.0, base_.concurrency - lent_to_others.concurrency -
                        reserved_concurrency)};
  limit_amount amount{
      std::min(wanted.rate, spare.rate),
      std::floor(std::min(wanted.concurrency, spare.concurrency))};
  if (now < known->until) {
    // The borrower may use the earlier loan until it expires, so a renewal
    // can't be smaller. If this host needs the amount, it lets the loan expire.
    const bool is_needed_here = spare.rate < known->amount.rate ||
                                spare.concurrency < known->amount.concurrency;
    if (is_needed_here || wanted.rate < kMinRenewedShare * known->amount.rate) {
      return {};
    }
    amount.rate = std::max(amount.rate, known->amount.rate);
    amount.concurrency =
        std::max(amount.concurrency, known->amount.concurrency);
  }
  if (amount.rate < kMinLoanRate && amount.concurrency < 1) {
    return {};
  }
  known->amount = amount;
  known->until = now + kLenderLoanDuration;
  return amount;
}

void account_share::Borrow(steady_time now,
                           const host_id& peer,
                           const limit_amount& amount,
                           steady_time until) {
  Refill(now);
  std::erase_if(borrowed_,
                [now](const loan& entry) { return now >= entry.until; });
  for (loan& entry : borrowed_) {
    if (entry.peer == peer) {
      if (until > entry.until) {
        entry = {peer, amount, until};
      }
      return;
    }
  }
  borrowed_.push_back({peer, amount, until});
}

limit_amount account_share::NeedAt(steady_time now) const {
  limit_amount need{kNeedFactor * DemandAt(now), peak_in_flight_ + 1};
  const double decay = std::exp(-ToSeconds(now - demand_updated_at_) /
                                kDemandTimeConstantSeconds);
  need.concurrency *= decay;
  const limit_amount own = OwnShareAt(now);
  return {std::max(0.0, need.rate - own.rate),
          std::ceil(std::max(0.0, need.concurrency - own.concurrency))};
}

bool account_share::IsBorrowingFrom(steady_time now,
                                    const host_id& peer) const {
  return std::any_of(borrowed_.begin(), borrowed_.end(),
                     [&](const loan& entry) {
                       return entry.peer == peer && now < entry.until;
                     });
}

}  // namespace shallotport
