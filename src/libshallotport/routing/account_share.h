#ifndef SHALLOTPORT_ROUTING_ACCOUNT_SHARE_H_
#define SHALLOTPORT_ROUTING_ACCOUNT_SHARE_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// An amount of each of an account's two limits.
struct limit_amount {
  double rate = 0;  // Requests per second.
  double concurrency = 0;

  limit_amount& operator+=(const limit_amount& other) {
    rate += other.rate;
    concurrency += other.concurrency;
    return *this;
  }
  limit_amount& operator-=(const limit_amount& other) {
    rate -= other.rate;
    concurrency -= other.concurrency;
    return *this;
  }
};

// One host's share of one account's limits: an equal base share, minus the
// loans to other hosts, plus the loans from them. The lender deducts a loan
// before the borrower receives it, and the loan expires at the borrower first,
// so the shares of all hosts never add up to more than the limits. Owned by the
// account_limiter.
class account_share {
 public:
  // Lifetime of a loan at the borrower, from the time of its request.
  static constexpr duration kLoanDuration{2'000'000};
  // Lifetime of a loan at the lender. Longer than at the borrower, to allow for
  // clocks that run at different speeds.
  static constexpr duration kLenderLoanDuration{2'040'000};
  // Fraction of the base share that a host never lends.
  static constexpr double kReservedShare = 0.25;
  // Capacity of the token bucket, in seconds of the rate.
  static constexpr double kBurstSeconds = 1.0;

  // `loans_unknown_until`: until then, loans of an earlier incarnation of this
  // host may still be in use, up to all that it may lend.
  account_share(const limit_amount& base,
                steady_time now,
                steady_time loans_unknown_until);

  void SetBase(steady_time now, const limit_amount& base);

  // Takes a rate token and a concurrency slot; false if either has run out.
  bool TryAcquire(steady_time now);
  void Release();

  // Time until the next rate token; zero if only the concurrency is exhausted.
  duration TimeToNextToken(steady_time now) const;

  // Lends up to `wanted` to the peer, replacing its earlier loan, and returns
  // the amount. Zero means no loan or no renewal; a renewal is never smaller
  // than the loan that may still be in use.
  limit_amount Lend(steady_time now,
                    const host_id& peer,
                    const limit_amount& wanted);

  // Adds a loan from the peer that expires at `until`.
  void Borrow(steady_time now,
              const host_id& peer,
              const limit_amount& amount,
              steady_time until);

  // Demand beyond the base share minus loans to others; zero if it suffices.
  limit_amount NeedAt(steady_time now) const;

  // True if the peer's loan to this host is in force.
  bool IsBorrowingFrom(steady_time now, const host_id& peer) const;

  limit_amount ShareAt(steady_time now) const;
  uint32_t in_flight() const { return in_flight_; }

 private:
  struct loan {
    host_id peer;
    limit_amount amount;
    steady_time until;
  };

  static limit_amount SumOfActive(const std::vector<loan>& loans,
                                  steady_time now);
  limit_amount OwnShareAt(steady_time now) const;
  void Refill(steady_time now);
  void RecordDemand(steady_time now);
  double DemandAt(steady_time now) const;

  limit_amount base_;
  steady_time loans_unknown_until_;
  std::vector<loan> lent_;
  std::vector<loan> borrowed_;
  double tokens_ = 0;
  steady_time refilled_at_;
  uint32_t in_flight_ = 0;
  // Decaying averages: arrivals per second, admitted or not, and the highest
  // concurrency wanted.
  double demand_rate_ = 0;
  steady_time demand_updated_at_;
  double peak_in_flight_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ACCOUNT_SHARE_H_
