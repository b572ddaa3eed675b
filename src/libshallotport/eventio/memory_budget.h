#ifndef SHALLOTPORT_EVENTIO_MEMORY_BUDGET_H_
#define SHALLOTPORT_EVENTIO_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>

namespace shallotport {

enum class memory_pressure : uint8_t {
  kNone,
  kHigh,      // Large requests are not accepted any more.
  kCritical,  // Connections that hold much are closed.
};

// The bytes that a host holds for its peers, of all connections together.
// Shared by the listeners of a process. Pure accounting.
class memory_budget {
 public:
  explicit memory_budget(size_t limit) : limit_(limit) {}

  void SetLimit(size_t limit) { limit_ = limit; }
  size_t limit() const { return limit_; }
  size_t held() const { return held_; }

  // A connection held `before` bytes and holds `after` bytes now.
  void Change(size_t before, size_t after);

  memory_pressure Pressure() const;
  // Bytes to be freed until the pressure is no longer critical.
  size_t Excess() const;

 private:
  size_t limit_;
  size_t held_ = 0;
};

// Bytes that one holder has, as part of a budget. They are returned when it is
// destroyed, which must not be after the budget.
class held_bytes {
 public:
  explicit held_bytes(memory_budget* budget = nullptr) : budget_(budget) {}
  ~held_bytes() { Set(0); }
  held_bytes(const held_bytes&) = delete;
  held_bytes& operator=(const held_bytes&) = delete;

  void Set(size_t bytes);
  size_t count() const { return count_; }
  // The budget is being destroyed.
  void Detach() { budget_ = nullptr; }

 private:
  memory_budget* budget_;
  size_t count_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_MEMORY_BUDGET_H_
