// Snapshots of claim_state: a header chunk, then one chunk for each shard of
// the table. A chunk is its length in 8 bytes, in the machine's byte order, and
// an encoded structure.
#include <cereal/types/deque.hpp>
#include <istream>
#include <ostream>

#include "base/codec.h"
#include "claims/claim_state.h"

namespace shallotport {
namespace {

constexpr uint32_t kSnapshotFormat = 1;
constexpr uint64_t kMaxChunkBytes = 1ULL << 31U;

void WriteChunk(std::ostream& out, const std::string& bytes) {
  const uint64_t size = bytes.size();
  out.write(reinterpret_cast<const char*>(&size), sizeof(size));
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

template <typename T>
result<T> ReadChunk(std::istream& in) {
  uint64_t size = 0;
  if (!in.read(reinterpret_cast<char*>(&size), sizeof(size)) ||
      size > kMaxChunkBytes) {
    return MakeError(error_kind::kCorrupt,
                     "claim snapshot: chunk length missing or too large");
  }
  std::string bytes(size, '\0');
  if (!in.read(bytes.data(), static_cast<std::streamsize>(size))) {
    return MakeError(error_kind::kCorrupt, "claim snapshot is truncated");
  }
  return Decode<T>(bytes);
}

}  // namespace

struct claim_state::stored_claim {
  claim_key key;
  claim_digest request;
  uint64_t attempt_hash = 0;
  wall_milliseconds expires_at = 0;
  claim_phase phase = claim_phase::kOpen;
  std::optional<claim_holder_record> holder;
  std::optional<claim_response> response;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, request, attempt_hash, expires_at, phase, holder, response);
  }
};

struct claim_state::stored_generation {
  wall_milliseconds closed_at = 0;
  std::vector<uint64_t> hashes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(closed_at, hashes);
  }
};

struct claim_state::stored_header {
  uint32_t format = kSnapshotFormat;
  wall_milliseconds now = 0;
  wall_milliseconds next_sweep = 0;
  counters counts;
  std::map<host_id, host_incarnations> hosts;
  std::deque<released_attempt> released;
  wall_milliseconds expired_opened_at = 0;
  std::vector<stored_generation> expired;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, now, next_sweep, counts, hosts, released, expired_opened_at,
            expired);
  }
};

class claim_state::writer final : public snapshot_writer {
 public:
  explicit writer(const claim_state& state)
      : shards_(state.table_.TakeSnapshot()),
        expired_keys_(state.expired_keys_.Generations()) {
    header_.now = state.now_;
    header_.next_sweep = state.next_sweep_;
    header_.counts = state.counters_;
    header_.hosts = state.hosts_;
    header_.released = state.released_attempts_;
    header_.expired_opened_at = state.expired_keys_.opened_at();
  }

  status Write(std::ostream& out) override {
    for (const auto& generation : expired_keys_) {
      header_.expired.push_back({generation.closed_at, *generation.hashes});
    }
    WriteChunk(out, Encode(header_));
    for (const auto& shard : *shards_) {
      WriteChunk(out, Encode(ToStoredClaims(*shard)));
    }
    if (!out) {
      return MakeError(error_kind::kStorageFailed,
                       "cannot write the claim snapshot");
    }
    return success{};
  }

 private:
  static std::vector<stored_claim> ToStoredClaims(
      const claim_table::shard& shard) {
    std::vector<stored_claim> claims;
    claims.reserve(shard.size());
    for (const auto& [key, entry] : shard) {
      stored_claim claim{key,
                         entry.request,
                         entry.attempt_hash,
                         entry.expires_at,
                         entry.phase,
                         {},
                         {}};
      if (entry.holder) {
        claim.holder = *entry.holder;
      }
      if (entry.response) {
        claim.response = *entry.response;
      }
      claims.push_back(std::move(claim));
    }
    return claims;
  }

  std::unique_ptr<claim_table::snapshot> shards_;
  std::vector<expired_keys::generation> expired_keys_;
  stored_header header_;
};

std::unique_ptr<snapshot_writer> claim_state::BeginSnapshot() const {
  return std::make_unique<writer>(*this);
}

status claim_state::LoadSnapshot(std::istream& in) {
  auto header = ReadChunk<stored_header>(in);
  if (!IsOk(header)) {
    return ErrorOf(header);
  }
  if (ValueOf(header).format != kSnapshotFormat) {
    return MakeError(error_kind::kCorrupt,
                     "claim snapshot has an unsupported format");
  }
  Clear();
  Restore(std::move(ValueOf(header)));
  for (size_t i = 0; i < claim_table::kShardCount; ++i) {
    const auto claims = ReadChunk<std::vector<stored_claim>>(in);
    if (!IsOk(claims)) {
      return ErrorOf(claims);
    }
    for (const stored_claim& claim : ValueOf(claims)) {
      Restore(claim);
    }
  }
  return success{};
}

void claim_state::Clear() {
  table_ = claim_table();
  open_claims_.clear();
  open_timeouts_.clear();
  keys_by_expiry_minute_.clear();
  released_attempt_hashes_.clear();
  stored_response_bytes_ = 0;
}

void claim_state::Restore(stored_header header) {
  now_ = header.now;
  next_sweep_ = header.next_sweep;
  counters_ = header.counts;
  hosts_ = std::move(header.hosts);
  released_attempts_ = std::move(header.released);
  for (const released_attempt& attempt : released_attempts_) {
    released_attempt_hashes_.insert(attempt.hash);
  }
  std::vector<expired_keys::generation> generations;
  generations.reserve(header.expired.size());
  for (stored_generation& stored : header.expired) {
    generations.push_back(
        {stored.closed_at, std::make_shared<const std::vector<uint64_t>>(
                               std::move(stored.hashes))});
  }
  expired_keys_.Restore(generations, header.expired_opened_at);
}

void claim_state::Restore(const stored_claim& claim) {
  claim_entry entry;
  entry.request = claim.request;
  entry.attempt_hash = claim.attempt_hash;
  entry.expires_at = claim.expires_at;
  entry.phase = claim.phase;
  if (claim.holder) {
    entry.holder = std::make_shared<const claim_holder_record>(*claim.holder);
  }
  if (claim.response) {
    stored_response_bytes_ += SizeOf(*claim.response);
    entry.response = std::make_shared<const claim_response>(*claim.response);
  }
  if (entry.phase == claim_phase::kOpen && entry.holder) {
    IndexOpen(claim.key, entry);
  }
  IndexExpiry(claim.key, entry);
  table_.Put(claim.key, std::move(entry));
}

}  // namespace shallotport
