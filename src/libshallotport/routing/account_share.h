#ifndef SHALLOTPORT_ROUTING_ACCOUNT_SHARE_H_
#define SHALLOTPORT_ROUTING_ACCOUNT_SHARE_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

// An amount of an account's two limits.
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

// One host's share of one account's limits: an equal base share, less what is
// lent to other hosts, plus what is borrowed. A loan is deducted here before
// the borrower hears of it, and the borrower's time for it ends first, so that
// the shares of all hosts never add up to more than the limits.
class account_share {
 public:
  // How long a loan lasts, counted by the borrower from its request.
  static constexpr duration kLoanDuration{2'000'000};
  // The lender counts longer than the borrower, for clocks of unequal speed.
  static constexpr duration kLenderLoanDuration{2'040'000};
  // The part of its base share that a host never lends.
  static constexpr double kReservedShare = 0.25;
  // Seconds of unused rate that may be saved up.
  static constexpr double kBurstSeconds = 1.0;

  // `loans_unknown_until`: an earlier life of this host may have lent all that
  // it may until then.
  account_share(const limit_amount& base,
                steady_time now,
                steady_time loans_unknown_until);

  void SetBase(steady_time now, const limit_amount& base);

  // Takes a request's token and place; false if the share has none left.
  bool TryAcquire(steady_time now);
  void Release();

  // When a token will be there; zero if only the concurrency is short.
  duration TimeToNextToken(steady_time now) const;

  // Lends up to `wanted` to the peer, replacing its earlier loan; the loan may
  // be zero. Never less than a loan that may still be in use.
  limit_amount Lend(steady_time now,
                    const host_id& peer,
                    const limit_amount& wanted);

  // Takes a loan that ends at `until`.
  void Borrow(steady_time now,
              const host_id& peer,
              const limit_amount& amount,
              steady_time until);

  // What would be used beyond the base share; zero if the share suffices.
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
  // Arrivals per second, admitted or not, and the wanted concurrency.
  double demand_rate_ = 0;
  steady_time demand_updated_at_;
  double peak_in_flight_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ACCOUNT_SHARE_H_
