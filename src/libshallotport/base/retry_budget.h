#ifndef SHALLOTPORT_BASE_RETRY_BUDGET_H_
#define SHALLOTPORT_BASE_RETRY_BUDGET_H_

#include <algorithm>

namespace shallotport {

// Token bucket that pays for retries and hedges of one service. Each success
// deposits a share of a token and each retry takes a whole one, so retries
// stay a bounded share of the successful calls however many calls fail.
class retry_budget {
 public:
  // `share`: tokens per success. `reserve`: largest number of saved tokens, and
  // the number at the start.
  retry_budget(double share, double reserve)
      : share_(share), reserve_(reserve), tokens_(reserve) {}

  void OnSuccess() { tokens_ = std::min(reserve_, tokens_ + share_); }

  bool HasToken() const { return tokens_ >= 1.0; }

  // Takes a token; false when there is none.
  bool TryTake() {
    if (!HasToken()) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  // Gives back a token that was taken for a retry that was not made.
  void Return() { tokens_ = std::min(reserve_, tokens_ + 1.0); }

  double tokens() const { return tokens_; }

 private:
  double share_;
  double reserve_;
  double tokens_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_RETRY_BUDGET_H_
