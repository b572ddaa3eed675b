#ifndef SHALLOTPORT_BATCH_STORED_PAYLOADS_H_
#define SHALLOTPORT_BATCH_STORED_PAYLOADS_H_

#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "batch/item_payloads.h"
#include "storage/payload_store.h"

namespace shallotport {

// Payloads in the segment files of a payload_store. Segments must be smaller
// than 4 GiB, since payload_location has 32-bit offsets.
class stored_payloads final : public item_payloads {
 public:
  explicit stored_payloads(std::unique_ptr<payload_store> store)
      : store_(std::move(store)) {}

  result<payload_location> Append(std::string_view bytes) override {
    const result<payload_ref> stored = store_->Append(bytes);
    if (!IsOk(stored)) {
      return ErrorOf(stored);
    }
    const payload_ref& ref = ValueOf(stored);
    if (ref.offset > std::numeric_limits<uint32_t>::max()) {
      store_->Release(ref);
      return MakeError(error_kind::kStorageFailed,
                       "payload segments are larger than 4 GiB");
    }
    return payload_location{ref.segment, static_cast<uint32_t>(ref.offset),
                            ref.length};
  }

  result<std::string> Read(const payload_location& payload) const override {
    return store_->Read(ReferenceTo(payload));
  }

  void Release(const payload_location& payload) override {
    store_->Release(ReferenceTo(payload));
  }

 private:
  static payload_ref ReferenceTo(const payload_location& payload) {
    payload_ref ref;
    ref.segment = payload.segment;
    ref.length = payload.length;
    ref.offset = payload.offset;
    return ref;
  }

  const std::unique_ptr<payload_store> store_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_STORED_PAYLOADS_H_
