#ifndef SHALLOTPORT_BATCH_PINNED_PAYLOADS_H_
#define SHALLOTPORT_BATCH_PINNED_PAYLOADS_H_

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "batch/item_payloads.h"

namespace shallotport {

// Defers the release of payloads while snapshots that may read them are being
// written. A pin may be destroyed on any thread; all member functions are
// called on the thread that applies commands.
class pinned_payloads {
 public:
  using pin = std::shared_ptr<void>;

  explicit pinned_payloads(item_payloads& store)
      : store_(store), pins_(std::make_shared<std::atomic<int>>(0)) {}

  result<payload_location> Append(std::string_view bytes) {
    ReleaseDeferred();
    return store_.Append(bytes);
  }

  void Release(const payload_location& payload) {
    deferred_.push_back(payload);
    ReleaseDeferred();
  }

  // Payloads that are readable now stay so until the pin is destroyed.
  pin Pin() const {
    pins_->fetch_add(1);
    return pin(nullptr, [pins = pins_](void*) { pins->fetch_sub(1); });
  }

  item_payloads& store() const { return store_; }

 private:
  void ReleaseDeferred() {
    if (pins_->load() > 0) {
      return;
    }
    for (const payload_location& payload : deferred_) {
      store_.Release(payload);
    }
    deferred_.clear();
  }

  item_payloads& store_;
  std::shared_ptr<std::atomic<int>> pins_;
  std::vector<payload_location> deferred_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_PINNED_PAYLOADS_H_
