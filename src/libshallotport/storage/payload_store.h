#ifndef SHALLOTPORT_STORAGE_PAYLOAD_STORE_H_
#define SHALLOTPORT_STORAGE_PAYLOAD_STORE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/result.h"

namespace shallotport {

class file_system;

// Where a payload lies. 16 bytes, so that an index of many stays small.
struct payload_ref {
  uint32_t segment = 0;
  uint32_t length = 0;
  uint64_t offset = 0;

  bool operator==(const payload_ref&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(segment, length, offset);
  }
};

// Batch item bodies and results, kept out of memory in append-only segment
// files. A cache: it is emptied when opened and filled again from snapshot and
// log, so nothing in it is synced and references do not outlive the process.
// Thread-safe.
class payload_store {
 public:
  // `files` null: the operating system's. Removes what an earlier process left
  // in `folder`.
  static result<std::unique_ptr<payload_store>> Open(
      std::string folder,
      file_system* files = nullptr,
      uint64_t segment_bytes = 64u << 20);
  ~payload_store();

  result<payload_ref> Append(std::string_view payload);

  // kNotFound once the payload's segment is gone.
  result<std::string> Read(const payload_ref& ref) const;

  // Gives the payload up. A segment goes when all in it are given up.
  void Release(const payload_ref& ref);

  // Keeps what is there now readable, released or not, until the returned
  // handle and its copies are gone: for a snapshot that another thread writes.
  std::shared_ptr<const void> Hold();

  void WriteState(nlohmann::json& out) const;

 private:
  class segment;
  struct hold {};

  payload_store(std::string folder, file_system& files, uint64_t segment_bytes);
  status StartSegment();
  segment* Find(uint32_t number) const;
  bool IsDeletable(const segment& examined) const;
  void DeleteReleased();

  const std::string folder_;
  file_system& files_;
  const uint64_t segment_bytes_;
  mutable std::mutex mutex_;
  std::weak_ptr<const hold> hold_;
  uint32_t first_segment_ = 0;
  std::deque<std::unique_ptr<segment>> segments_;  // Null when deleted.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_PAYLOAD_STORE_H_
