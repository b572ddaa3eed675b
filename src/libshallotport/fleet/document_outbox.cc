#include "fleet/document_outbox.h"

namespace shallotport {

document_outbox::decision document_outbox::OnPublished(uint64_t newest,
                                                       uint64_t digest) {
  if (takes_notices_) {
    return SendNotice(newest, digest);
  }
  const bool is_read = confirmed_version_ >= sent_version_;
  if (!has_announced_ || !is_read || confirmed_version_ >= newest) {
    return {};
  }
  sent_version_ = newest;
  return {step::kWhole};
}

document_outbox::decision document_outbox::OnReceipt(
    const document_receipt& receipt,
    uint64_t newest,
    uint64_t digest) {
  takes_notices_ = true;
  if (!receipt.awaits_notice) {
    return {};
  }
  base_version_ = receipt.version;
  base_digest_ = receipt.digest;
  const bool is_behind = receipt.version < newest || receipt.digest == 0;
  return is_behind && digest != 0 ? SendNotice(newest, digest) : decision{};
}

document_outbox::decision document_outbox::OnAnnounced(uint64_t version,
                                                       uint64_t newest) {
  has_announced_ = true;
  confirmed_version_ = version;
  return takes_notices_ ? decision{} : OnPublished(newest, 0);
}

document_outbox::decision document_outbox::SendNotice(uint64_t newest,
                                                      uint64_t digest) {
  const decision notice{step::kNotice, base_version_, base_digest_};
  base_version_ = newest;
  base_digest_ = digest;
  return notice;
}

}  // namespace shallotport
