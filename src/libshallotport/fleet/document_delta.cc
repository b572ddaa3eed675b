#include "fleet/document_delta.h"

#include <algorithm>
#include <unordered_map>

namespace shallotport {

namespace {

// Stretches shorter than this are not looked for.
constexpr size_t kBlockBytes = 64;
constexpr size_t kPartOverhead = 16;
constexpr uint64_t kHashFactor = 0x9e3779b97f4a7c15;

// Polynomial hash of kBlockBytes bytes that moves along a text byte by byte.
class rolling_hash {
 public:
  rolling_hash() {
    for (size_t i = 1; i < kBlockBytes; ++i) {
      first_factor_ *= kHashFactor;
    }
  }
  void Begin(std::string_view block) {
    value_ = 0;
    for (const char each : block) {
      value_ = value_ * kHashFactor + static_cast<unsigned char>(each);
    }
  }
  void Move(char removed, char added) {
    value_ -= first_factor_ * static_cast<unsigned char>(removed);
    value_ = value_ * kHashFactor + static_cast<unsigned char>(added);
  }
  uint64_t value() const { return value_; }

 private:
  uint64_t first_factor_ = 1;
  uint64_t value_ = 0;
};

size_t CommonPrefix(std::string_view a, std::string_view b) {
  const size_t limit = std::min(a.size(), b.size());
  return static_cast<size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<ptrdiff_t>(limit),
                    b.begin())
          .first -
      a.begin());
}

std::unordered_map<uint64_t, size_t> IndexBlocks(std::string_view base) {
  std::unordered_map<uint64_t, size_t> offsets;
  offsets.reserve(base.size() / kBlockBytes);
  rolling_hash hash;
  for (size_t at = 0; at + kBlockBytes <= base.size(); at += kBlockBytes) {
    hash.Begin(base.substr(at, kBlockBytes));
    offsets.try_emplace(hash.value(), at);
  }
  return offsets;
}

void AppendInserted(document_delta& delta, std::string_view bytes) {
  if (!bytes.empty()) {
    delta.push_back({0, 0, std::string(bytes)});
  }
}

void AppendCopied(document_delta& delta, size_t offset, size_t size) {
  if (size > 0) {
    delta.push_back(
        {static_cast<uint32_t>(offset), static_cast<uint32_t>(size), {}});
  }
}

// A stretch that stands in both texts.
struct match {
  size_t base_offset = 0;
  size_t target_offset = 0;
  size_t size = 0;
};

// Extends a block that both texts have: backwards to `target_begin` at most.
match Extend(std::string_view base,
             std::string_view target,
             size_t target_begin,
             match found) {
  while (found.target_offset > target_begin && found.base_offset > 0 &&
         base[found.base_offset - 1] == target[found.target_offset - 1]) {
    --found.base_offset;
    --found.target_offset;
    ++found.size;
  }
  found.size += CommonPrefix(base.substr(found.base_offset + found.size),
                             target.substr(found.target_offset + found.size));
  return found;
}

}  // namespace

document_delta MakeDelta(std::string_view base, std::string_view target) {
  document_delta delta;
  size_t written = CommonPrefix(base, target);  // Of the target.
  AppendCopied(delta, 0, written);
  const auto offsets = IndexBlocks(base);
  rolling_hash hash;
  size_t at = written;
  const auto begin_hash = [&] {
    if (at + kBlockBytes <= target.size()) {
      hash.Begin(target.substr(at, kBlockBytes));
    }
  };
  begin_hash();
  while (at + kBlockBytes <= target.size()) {
    const auto candidate = offsets.find(hash.value());
    const bool is_match = candidate != offsets.end() &&
                          base.substr(candidate->second, kBlockBytes) ==
                              target.substr(at, kBlockBytes);
    if (!is_match) {
      if (at + kBlockBytes < target.size()) {
        hash.Move(target[at], target[at + kBlockBytes]);
      }
      ++at;
      continue;
    }
    const match found =
        Extend(base, target, written, {candidate->second, at, kBlockBytes});
    AppendInserted(delta,
                   target.substr(written, found.target_offset - written));
    AppendCopied(delta, found.base_offset, found.size);
    written = found.target_offset + found.size;
    at = written;
    begin_hash();
  }
  AppendInserted(delta, target.substr(written));
  return delta;
}

size_t EncodedSize(const document_delta& delta) {
  size_t size = 0;
  for (const delta_part& each : delta) {
    size += kPartOverhead + each.bytes.size();
  }
  return size;
}

result<std::string> ApplyDelta(std::string_view base,
                               const document_delta& delta,
                               size_t target_size) {
  std::string target;
  for (const delta_part& each : delta) {
    const bool is_inside =
        each.base_offset <= base.size() &&
        each.copied_bytes <= base.size() - each.base_offset &&
        target.size() + each.copied_bytes + each.bytes.size() <= target_size;
    if (!is_inside) {
      return MakeError(error_kind::kCorrupt, "a part is out of range");
    }
    if (target.capacity() < target_size) {
      target.reserve(target_size);
    }
    target.append(base.substr(each.base_offset, each.copied_bytes));
    target.append(each.bytes);
  }
  if (target.size() != target_size) {
    return MakeError(error_kind::kCorrupt, "parts are missing");
  }
  return target;
}

}  // namespace shallotport
