#include "fleet/document_acknowledgements.h"

#include <utility>
#include <vector>

#include "fleet/document_receipts.h"

namespace shallotport {

namespace {

// Operators try another control host after a second.
constexpr std::chrono::milliseconds kConfirmationTimeout{700};

}  // namespace

void document_acknowledgements::Add(steady_time now,
                                    uint64_t version,
                                    std::function<void()> on_due) {
  waiting_.push_back({version, now + kConfirmationTimeout, std::move(on_due)});
}

void document_acknowledgements::Advance(steady_time now,
                                        const document_receipts& receipts) {
  std::vector<std::function<void()>> due;
  std::erase_if(waiting_, [&](waiting_change& each) {
    const bool is_confirmed =
        receipts.newest() >= each.version && receipts.IsConfirmed(each.version);
    if (!is_confirmed && now < each.deadline) {
      return false;
    }
    unconfirmed_ += is_confirmed ? 0 : 1;
    due.push_back(std::move(each.on_due));
    return true;
  });
  for (const auto& acknowledge : due) {
    acknowledge();
  }
}

}  // namespace shallotport
