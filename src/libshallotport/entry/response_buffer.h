#ifndef SHALLOTPORT_ENTRY_RESPONSE_BUFFER_H_
#define SHALLOTPORT_ENTRY_RESPONSE_BUFFER_H_

#include <string>
#include <string_view>

#include "eventio/memory_budget.h"

namespace shallotport {

// The body of a response that is passed on as a whole, counted in the budget of
// what the host holds for its callers. A body that is too long, or that grows
// while the budget is used up, is cut: nothing of it is kept.
class response_buffer {
 public:
  // `budget` may be null and must outlive the buffer.
  explicit response_buffer(memory_budget* budget = nullptr)
      : budget_(budget), held_(budget) {}

  void Append(std::string_view bytes);
  const std::string& bytes() const { return bytes_; }
  bool is_cut() const { return is_cut_; }

 private:
  memory_budget* budget_;
  held_bytes held_;
  std::string bytes_;
  bool is_cut_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_RESPONSE_BUFFER_H_
