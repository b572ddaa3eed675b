#include "fleet/document_archive.h"

#include <algorithm>

#include "base/codec.h"
#include "base/digest.h"

namespace shallotport {

namespace {

// Versions that come within a few seconds: hosts that are behind by less get
// differences, and reads of a document end although a newer one has come.
constexpr size_t kMaxDocuments = 16;
constexpr size_t kMaxKeptBytes = 8u << 20;
// What may wait in front of other messages: 6 and 24 ms of a link of 22 Mbit/s.
constexpr size_t kMaxDeltaBytes = 16u << 10;
constexpr size_t kMaxChunkBytes = 64u << 10;

}  // namespace

void document_archive::Add(const configuration_document& document) {
  if (document.version <= newest() && !documents_.empty()) {
    return;
  }
  notices_.clear();
  documents_.push_back({document, HashOf(document.bytes)});
  size_t kept_bytes = 0;
  for (const kept_document& each : documents_) {
    kept_bytes += each.document.bytes.size();
  }
  while (documents_.size() > 1 &&
         (documents_.size() > kMaxDocuments || kept_bytes > kMaxKeptBytes)) {
    kept_bytes -= documents_.front().document.bytes.size();
    documents_.pop_front();
  }
}

const std::string& document_archive::NoticeFor(uint64_t base_version,
                                               uint64_t base_digest) {
  const kept_document* base = Find(base_version);
  if (base != nullptr && base->digest != base_digest) {
    base = nullptr;
  }
  const auto [found, is_new] =
      notices_.try_emplace(base == nullptr ? 0 : base_version);
  if (is_new) {
    found->second = MakeNotice(base);
  }
  return found->second;
}

std::string document_archive::MakeNotice(const kept_document* base) const {
  const kept_document& newest = documents_.back();
  document_notice notice;
  notice.version = newest.document.version;
  notice.digest = newest.digest;
  notice.size = newest.document.bytes.size();
  if (base != nullptr) {
    document_delta delta =
        MakeDelta(base->document.bytes, newest.document.bytes);
    if (EncodedSize(delta) <= kMaxDeltaBytes) {
      notice.base_version = base->document.version;
      notice.base_digest = base->digest;
      notice.delta = std::move(delta);
    }
  }
  return Encode(notice);
}

document_chunk document_archive::Read(const document_read& read) const {
  const kept_document* kept = Find(read.version);
  document_chunk chunk;
  if (kept == nullptr || kept->digest != read.digest ||
      read.offset > kept->document.bytes.size()) {
    return chunk;
  }
  chunk.is_held = true;
  chunk.offset = read.offset;
  chunk.bytes = kept->document.bytes.substr(read.offset, kMaxChunkBytes);
  return chunk;
}

uint64_t document_archive::DigestOf(uint64_t version) const {
  const kept_document* kept = Find(version);
  return kept == nullptr ? 0 : kept->digest;
}

const document_archive::kept_document* document_archive::Find(
    uint64_t version) const {
  const auto found = std::find_if(
      documents_.begin(), documents_.end(),
      [version](const auto& each) { return each.document.version == version; });
  return found == documents_.end() ? nullptr : &*found;
}

}  // namespace shallotport
