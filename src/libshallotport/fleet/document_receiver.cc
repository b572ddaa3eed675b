#include "fleet/document_receiver.h"

#include <utility>

#include "base/codec.h"
#include "base/digest.h"
#include "eventio/link_hub.h"

namespace shallotport {

namespace {

// For a piece of a document; a healthy link takes milliseconds.
constexpr std::chrono::milliseconds kReadTimeout{500};
// A host that is behind and reads nothing asks all control hosts this often.
constexpr std::chrono::milliseconds kRepairInterval{500};

}  // namespace

document_receiver::document_receiver(const clock_source& clock,
                                     link_hub& hub,
                                     host_id self)
    : clock_(clock), hub_(hub), fetch_(std::move(self)) {}

void document_receiver::OnNotice(const host_id& from,
                                 std::string_view payload) {
  const auto decoded = DecodeGrowing<document_notice>(payload);
  if (!IsOk(decoded)) {
    return;
  }
  const document_notice& notice = ValueOf(decoded);
  if (!in_force_.bytes.empty() && notice.version <= in_force_.version) {
    return;
  }
  if (!behind_since_) {
    behind_since_ = clock_.Now();
  }
  fetch_.Notice(notice.version);
  const bool has_other_base =
      notice.base_version != 0 && (notice.base_version != in_force_.version ||
                                   notice.base_digest != digest_);
  if (has_other_base) {
    // What is being read ends with a receipt of its own.
    if (!fetch_.IsUnderWay()) {
      SendReceipt(from, true);
    }
    return;
  }
  if (notice.base_version != 0 && ApplyNotice(notice)) {
    return;
  }
  fetch_.Offer(from, notice.version, notice.digest, notice.size);
  ReadOn();
}

bool document_receiver::ApplyNotice(const document_notice& notice) {
  auto bytes = ApplyDelta(in_force_.bytes, notice.delta, notice.size);
  if (!IsOk(bytes) || HashOf(ValueOf(bytes)) != notice.digest) {
    return false;
  }
  on_document({notice.version, std::move(ValueOf(bytes))});
  return true;
}

void document_receiver::SetInForce(const configuration_document& document) {
  in_force_ = document;
  digest_ = HashOf(document.bytes);
  fetch_.SetInForce(document.version);
  if (!IsBehind()) {
    behind_since_.reset();
  }
}

void document_receiver::SendReceipts() {
  for (const host_id& each : control_hosts()) {
    SendReceipt(each, IsBehind());
  }
}

void document_receiver::Tick(steady_time now) {
  if (!IsBehind() || fetch_.IsUnderWay()) {
    next_repair_ = now + kRepairInterval;
  } else if (now >= next_repair_) {
    next_repair_ = now + kRepairInterval;
    for (const host_id& each : control_hosts()) {
      SendReceipt(each, true);
    }
  }
  ReadOn();
}

void document_receiver::ReadOn() {
  const auto next = fetch_.Next(clock_.Now());
  if (!next) {
    return;
  }
  hub_.Call(next->source.text(),
            static_cast<uint8_t>(fleet_call::kReadDocument), Encode(next->read),
            kReadTimeout, [this](const result<std::string>& reply) {
              if (IsOk(reply)) {
                OnChunk(ValueOf(reply));
              } else {
                fetch_.OnFailure(clock_.Now());
              }
            });
}

void document_receiver::OnChunk(std::string_view payload) {
  const auto chunk = DecodeGrowing<document_chunk>(payload);
  if (!IsOk(chunk)) {
    fetch_.OnFailure(clock_.Now());
    return;
  }
  const auto whole = fetch_.OnChunk(clock_.Now(), ValueOf(chunk));
  if (whole) {
    on_document(*whole);
  }
  ReadOn();
}

std::string document_receiver::EncodeReceipt(bool awaits_notice) const {
  return Encode(document_receipt{in_force_.version, digest_, awaits_notice});
}

void document_receiver::SendReceipt(const host_id& to, bool awaits_notice) {
  hub_.Send(to.text(), static_cast<uint8_t>(fleet_frame::kDocumentReceipt),
            EncodeReceipt(awaits_notice));
}

}  // namespace shallotport
