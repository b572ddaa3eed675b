#include "entry/response_buffer.h"

namespace shallotport {

namespace {

constexpr size_t kMaxResponseBytes = 16u << 20;
// Ordinary bodies are kept while memory is scarce.
constexpr size_t kSmallResponseBytes = 64u << 10;

}  // namespace

void response_buffer::Append(std::string_view bytes) {
  const size_t size = bytes_.size() + bytes.size();
  const bool is_memory_used_up =
      budget_ != nullptr && size > kSmallResponseBytes &&
      budget_->Pressure() == memory_pressure::kCritical;
  is_cut_ = is_cut_ || size > kMaxResponseBytes || is_memory_used_up;
  if (is_cut_) {
    std::string().swap(bytes_);
  } else {
    bytes_.append(bytes);
  }
  held_.Set(bytes_.capacity());
}

}  // namespace shallotport
