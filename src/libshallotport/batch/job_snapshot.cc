#include "batch/job_snapshot.h"

#include <cereal/types/deque.hpp>
#include <cereal/types/utility.hpp>
#include <istream>
#include <ostream>

#include "base/codec.h"

// A snapshot is a sequence of frames, each a 32-bit length and an encoded
// message: the header, then for each job its record and its items in groups.

namespace shallotport {

namespace {

constexpr uint32_t kFormat = 1;
constexpr uint32_t kMaxFrameBytes = 256 << 20;
constexpr size_t kItemsPerGroup = 1024;
constexpr size_t kBytesPerGroup = 1 << 20;

struct snapshot_header {
  uint32_t format = kFormat;
  uint64_t job_count = 0;
  job_catalogue catalogue;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, job_count, catalogue);
  }
};

struct snapshot_job {
  job_record job;
  uint32_t item_count = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, item_count);
  }
};

// An unsettled item of a cancelled job has no payload.
struct snapshot_item {
  lease_epoch epoch = 0;
  uint8_t state = 0;
  uint8_t endpoint_deaths = 0;
  uint8_t failed_attempts = 0;
  uint8_t interruptions = 0;
  error_kind failure = error_kind::kInternal;
  bool has_payload = true;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, state, endpoint_deaths, failed_attempts, interruptions,
            failure, has_payload, payload);
  }
};

bool HasPayload(const job_record& job, const item_entry& entry) {
  return entry.IsSettled() || job.phase != job_phase::kCancelled;
}

template <typename T>
status WriteFrame(std::ostream& out, const T& message) {
  const std::string bytes = Encode(message);
  const uint32_t length = static_cast<uint32_t>(bytes.size());
  if (bytes.size() > kMaxFrameBytes) {
    return MakeError(error_kind::kTooLarge,
                     "job snapshot frame is larger than 256 MiB");
  }
  out.write(reinterpret_cast<const char*>(&length), sizeof(length));
  out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  if (!out) {
    return MakeError(error_kind::kStorageFailed,
                     "cannot write the job snapshot");
  }
  return success{};
}

template <typename T>
result<T> ReadFrame(std::istream& in) {
  uint32_t length = 0;
  in.read(reinterpret_cast<char*>(&length), sizeof(length));
  if (!in || length > kMaxFrameBytes) {
    return MakeError(error_kind::kCorrupt, "job snapshot ends early");
  }
  std::string bytes(length, '\0');
  in.read(bytes.data(), length);
  if (!in) {
    return MakeError(error_kind::kCorrupt, "job snapshot ends early");
  }
  return Decode<T>(bytes);
}

class job_snapshot_writer final : public snapshot_writer {
 public:
  job_snapshot_writer(const job_catalogue& catalogue,
                      const pinned_payloads& payloads,
                      const status& health)
      : catalogue_(catalogue),
        store_(payloads.store()),
        pin_(payloads.Pin()),
        health_(health) {}

  status Write(std::ostream& out) override {
    if (!IsOk(health_)) {
      return health_;
    }
    snapshot_header header;
    header.job_count = catalogue_.jobs.size();
    std::map<job_number, job_record> jobs = std::move(catalogue_.jobs);
    header.catalogue = std::move(catalogue_);
    status written = WriteFrame(out, header);
    for (auto job = jobs.begin(); job != jobs.end() && IsOk(written); ++job) {
      written = WriteJob(out, job->second);
    }
    pin_.reset();
    return written;
  }

 private:
  status WriteJob(std::ostream& out, const job_record& job) const {
    status written = WriteFrame(out, snapshot_job{job, job.items.size()});
    for (uint32_t first = 0; first < job.items.size() && IsOk(written);
         first += item_table::kChunkItems) {
      const auto entries = job.items.ReadChunk(first, store_);
      if (!IsOk(entries)) {
        return ErrorOf(entries);
      }
      written = WriteItems(out, job, ValueOf(entries));
    }
    return written;
  }

  status WriteItems(std::ostream& out,
                    const job_record& job,
                    const std::vector<item_entry>& entries) const {
    std::vector<snapshot_item> group;
    size_t bytes = 0;
    for (const item_entry& entry : entries) {
      snapshot_item item{entry.epoch,
                         static_cast<uint8_t>(entry.state),
                         entry.endpoint_deaths,
                         entry.failed_attempts,
                         entry.interruptions,
                         entry.failure,
                         HasPayload(job, entry),
                         {}};
      if (item.has_payload) {
        result<std::string> payload = store_.Read(entry.payload);
        if (!IsOk(payload)) {
          return ErrorOf(payload);
        }
        item.payload = ValueOf(std::move(payload));
      }
      bytes += item.payload.size();
      group.push_back(std::move(item));
      if (group.size() == kItemsPerGroup || bytes >= kBytesPerGroup) {
        status written = WriteFrame(out, group);
        if (!IsOk(written)) {
          return written;
        }
        group.clear();
        bytes = 0;
      }
    }
    return group.empty() ? status(success{}) : WriteFrame(out, group);
  }

  job_catalogue catalogue_;
  const item_payloads& store_;
  pinned_payloads::pin pin_;
  const status health_;
};

status LoadItems(std::istream& in,
                 uint64_t generation,
                 uint32_t item_count,
                 job_record& job,
                 pinned_payloads& payloads) {
  while (job.items.size() < item_count) {
    const auto group = ReadFrame<std::vector<snapshot_item>>(in);
    if (!IsOk(group)) {
      return ErrorOf(group);
    }
    if (ValueOf(group).empty() ||
        ValueOf(group).size() > item_count - job.items.size()) {
      return MakeError(error_kind::kCorrupt,
                       "job snapshot has a wrong number of items for a job");
    }
    for (const snapshot_item& item : ValueOf(group)) {
      item_entry entry;
      entry.epoch = item.epoch;
      entry.state = static_cast<item_state>(item.state & 3U);
      entry.endpoint_deaths = item.endpoint_deaths & 31U;
      entry.failed_attempts = item.failed_attempts;
      entry.interruptions = item.interruptions;
      entry.failure = item.failure;
      if (item.has_payload) {
        const result<payload_location> stored = payloads.Append(item.payload);
        if (!IsOk(stored)) {
          return ErrorOf(stored);
        }
        entry.payload = ValueOf(stored);
      }
      job.items.Append(entry, generation);
    }
  }
  return success{};
}

status LoadJob(std::istream& in,
               uint64_t generation,
               job_catalogue& catalogue,
               pinned_payloads& payloads) {
  result<snapshot_job> loaded = ReadFrame<snapshot_job>(in);
  if (!IsOk(loaded)) {
    return ErrorOf(loaded);
  }
  job_record& job = catalogue.Insert(std::move(ValueOf(loaded).job));
  status items =
      LoadItems(in, generation, ValueOf(loaded).item_count, job, payloads);
  if (!IsOk(items) || !job.IsEnded()) {
    return items;
  }
  return job.items.Freeze(payloads);
}

}  // namespace

std::unique_ptr<snapshot_writer> MakeJobSnapshotWriter(
    const job_catalogue& catalogue,
    const pinned_payloads& payloads,
    const status& health) {
  return std::make_unique<job_snapshot_writer>(catalogue, payloads, health);
}

result<job_catalogue> LoadJobs(std::istream& in,
                               uint64_t generation,
                               pinned_payloads& payloads) {
  result<snapshot_header> header = ReadFrame<snapshot_header>(in);
  if (!IsOk(header)) {
    return ErrorOf(header);
  }
  if (ValueOf(header).format != kFormat) {
    return MakeError(error_kind::kCorrupt, "unknown job snapshot format");
  }
  job_catalogue catalogue = std::move(ValueOf(header).catalogue);
  for (const auto& [until, hash] : catalogue.removed_key_expiries) {
    catalogue.removed_job_keys.insert(hash);
  }
  for (uint64_t i = 0; i < ValueOf(header).job_count; ++i) {
    const status loaded = LoadJob(in, generation, catalogue, payloads);
    if (!IsOk(loaded)) {
      ReleaseJobs(catalogue, payloads);
      return ErrorOf(loaded);
    }
  }
  return catalogue;
}

void ReleaseJobs(const job_catalogue& catalogue, pinned_payloads& payloads) {
  for (const auto& [number, job] : catalogue.jobs) {
    for (uint32_t first = 0; first < job.items.size();
         first += item_table::kChunkItems) {
      const auto entries = job.items.ReadChunk(first, payloads.store());
      if (!IsOk(entries)) {
        continue;
      }
      for (const item_entry& entry : ValueOf(entries)) {
        if (HasPayload(job, entry)) {
          payloads.Release(entry.payload);
        }
      }
    }
    for (const payload_location& stored : job.items.stored_chunks()) {
      payloads.Release(stored);
    }
  }
}

}  // namespace shallotport
