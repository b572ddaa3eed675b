#ifndef SHALLOTPORT_ENTRY_OUTPUT_PERIOD_H_
#define SHALLOTPORT_ENTRY_OUTPUT_PERIOD_H_

#include <optional>

#include "base/clock.h"
#include "poison/crash_attribution.h"

namespace shallotport {

// For how long an attempt has put out text. Part of an attempt.
class output_period {
 public:
  // To be called when text arrives; true once, when there has been some for
  // crash_attribution::kSustainedOutput.
  bool BecomesSustained(steady_time now) {
    if (!begun_at_) {
      begun_at_ = now;
    }
    last_at_ = now;
    const bool is_due = !is_sustained_ &&
                        now >= *begun_at_ + crash_attribution::kSustainedOutput;
    is_sustained_ = is_sustained_ || is_due;
    return is_due;
  }

  // From the first text to the last one so far.
  duration length() const {
    return begun_at_ ? last_at_ - *begun_at_ : duration(0);
  }

 private:
  std::optional<steady_time> begun_at_;
  steady_time last_at_{};
  bool is_sustained_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_OUTPUT_PERIOD_H_
