#include "eventio/memory_budget.h"

#include <algorithm>

namespace shallotport {

namespace {

// Parts of the limit. What is being received meanwhile fits into the rest.
constexpr double kHighShare = 0.8;
constexpr double kCriticalShare = 0.95;

size_t ShareOf(size_t limit, double share) {
  return static_cast<size_t>(static_cast<double>(limit) * share);
}

}  // namespace

void memory_budget::Change(size_t before, size_t after) {
  held_ = held_ - std::min(held_, before) + after;
}

memory_pressure memory_budget::Pressure() const {
  if (held_ >= ShareOf(limit_, kCriticalShare)) {
    return memory_pressure::kCritical;
  }
  return held_ >= ShareOf(limit_, kHighShare) ? memory_pressure::kHigh
                                              : memory_pressure::kNone;
}

size_t memory_budget::Excess() const {
  return held_ - std::min(held_, ShareOf(limit_, kHighShare));
}

void held_bytes::Set(size_t bytes) {
  if (budget_ != nullptr) {
    budget_->Change(count_, bytes);
  }
  count_ = bytes;
}

}  // namespace shallotport
