#include "fleet/document_fetch.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace shallotport {

namespace {

constexpr uint64_t kMaxDocumentBytes = 16u << 20;
// A control host that failed is not asked again for this long.
constexpr std::chrono::milliseconds kSourceBackoff{1'000};

}  // namespace

void document_fetch::Offer(const host_id& source,
                           uint64_t version,
                           uint64_t digest,
                           uint64_t size) {
  Notice(version);
  offer& known = offers_[source];
  if (version >= known.version && size <= kMaxDocumentBytes) {
    known.version = version;
    known.digest = digest;
    known.size = size;
  }
}

void document_fetch::SetInForce(uint64_t version) {
  in_force_ = version;
  offers_.clear();
  if (transfer_ && transfer_->version <= version && !transfer_->is_asked) {
    transfer_.reset();
  }
}

std::optional<document_fetch::step> document_fetch::Next(steady_time now) {
  if (transfer_ && transfer_->is_asked) {
    return std::nullopt;
  }
  if (!transfer_) {
    Begin(now);
  }
  if (!transfer_) {
    return std::nullopt;
  }
  if (transfer_->source.IsEmpty()) {
    const auto source = ChooseSource(now, transfer_->version);
    if (!source) {
      return std::nullopt;
    }
    transfer_->source = *source;
  }
  transfer_->is_asked = true;
  return step{transfer_->source,
              {transfer_->version, transfer_->digest, transfer_->bytes.size()}};
}

void document_fetch::Begin(steady_time now) {
  const offer* newest = nullptr;
  for (const auto& [source, each] : offers_) {
    const bool is_usable = now >= each.not_before && each.version > in_force_;
    if (is_usable && (newest == nullptr || each.version > newest->version)) {
      newest = &each;
    }
  }
  if (newest != nullptr) {
    transfer_ = {newest->version, newest->digest, newest->size, {}, {}, false};
  }
}

// Control hosts keep a document for a while after a newer one has come.
std::optional<host_id> document_fetch::ChooseSource(steady_time now,
                                                    uint64_t version) const {
  std::optional<host_id> chosen;
  uint64_t highest = 0;
  for (const auto& [source, each] : offers_) {
    const uint64_t weight = HashOf(source.text() + " " + self_.text());
    const bool is_usable = now >= each.not_before && each.version >= version;
    if (is_usable && (!chosen || weight > highest)) {
      chosen = source;
      highest = weight;
    }
  }
  return chosen;
}

std::optional<configuration_document> document_fetch::OnChunk(
    steady_time now,
    const document_chunk& chunk) {
  if (!transfer_ || !transfer_->is_asked) {
    return std::nullopt;
  }
  transfer_->is_asked = false;
  if (transfer_->version <= in_force_) {
    transfer_.reset();
    return std::nullopt;
  }
  if (!chunk.is_held) {
    // Its later offers are for newer documents.
    offers_.erase(transfer_->source);
    transfer_.reset();
    return std::nullopt;
  }
  const size_t missing = transfer_->size - transfer_->bytes.size();
  if (chunk.offset != transfer_->bytes.size() || chunk.bytes.size() > missing ||
      (chunk.bytes.empty() && missing > 0)) {
    transfer_->is_asked = true;
    OnFailure(now);
    return std::nullopt;
  }
  transfer_->bytes += chunk.bytes;
  if (transfer_->bytes.size() < transfer_->size) {
    return std::nullopt;
  }
  transfer whole = std::move(*transfer_);
  transfer_.reset();
  if (HashOf(whole.bytes) != whole.digest) {
    offers_[whole.source].not_before = now + kSourceBackoff;
    return std::nullopt;
  }
  return configuration_document{whole.version, std::move(whole.bytes)};
}

void document_fetch::OnFailure(steady_time now) {
  if (!transfer_ || !transfer_->is_asked) {
    return;
  }
  transfer_->is_asked = false;
  const auto failed = offers_.find(transfer_->source);
  if (failed != offers_.end()) {
    failed->second.not_before = now + kSourceBackoff;
  }
  transfer_->source = host_id();
}

}  // namespace shallotport
