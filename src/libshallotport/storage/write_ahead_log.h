#ifndef SHALLOTPORT_STORAGE_WRITE_AHEAD_LOG_H_
#define SHALLOTPORT_STORAGE_WRITE_AHEAD_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace shallotport {

class appendable_file;
class file_system;

// Where a record begins.
struct log_position {
  uint32_t segment = 0;
  uint32_t offset = 0;
};

// One record as read back.
struct log_record {
  uint8_t kind = 0;
  std::string payload;
  log_position position;
};

struct write_ahead_log_options {
  std::string folder;
  uint32_t group = 1;
  uint32_t segment_bytes = 16u << 20;
  // A gap in the numbers of the segments is taken for the trace of a removal
  // that a power loss has undone in part: reading begins after it. The caller
  // checks that what is left is enough, and then calls RemoveLeftovers().
  bool begins_after_gap = false;
};

// An append-only log of checksummed records in numbered segment files. Records
// are gathered in memory and written and synced together by Sync(). Opening
// cuts off a torn tail, that is an end that no successful Sync() covered, and
// refuses damage before that. The format is in docs/design/replicated-log.md.
//
// After a failed sync nothing is known about the disk's content: the log
// refuses all further use. A full disk is no such failure: Sync() can be tried
// again and nothing of the gathered records is lost.
class write_ahead_log {
 public:
  using visitor = std::function<status(const log_record& record)>;

  // Calls `visit` for each record in order; its error ends the opening.
  static result<std::unique_ptr<write_ahead_log>> Open(
      file_system& files,
      write_ahead_log_options options,
      const visitor& visit);
  ~write_ahead_log();

  // Whether there are segments before a gap, which were not read.
  bool has_leftovers() const { return !leftovers_.empty(); }
  status RemoveLeftovers();

  // Gathers a record for the next Sync().
  log_position Append(uint8_t kind, std::string_view payload);

  // Writes and syncs what was gathered. kStorageFull may be tried again;
  // kStorageFailed is final.
  status Sync();

  // The record at a position returned by Append() or seen by the visitor.
  result<log_record> Read(const log_position& position) const;

  // True when the current segment has reached its size.
  bool IsSegmentFull() const;

  // Begins a new segment; nothing may be gathered.
  status StartSegment();

  // Removes all segments below `segment`.
  status RemoveSegmentsBefore(uint32_t segment);

  uint32_t first_segment() const { return first_; }
  uint32_t current_segment() const { return current_; }
  bool has_gathered() const { return !gathered_.empty(); }
  uint64_t sync_count() const { return syncs_; }
  uint64_t written_bytes() const { return written_bytes_; }

 private:
  write_ahead_log(file_system& files, write_ahead_log_options options);

  std::string PathOf(uint32_t segment) const;
  status Recover(const visitor& visit);
  status RecoverSegment(uint32_t segment, bool is_last, const visitor& visit);
  status CutTail(uint32_t segment, uint64_t size);
  status OpenSegment(uint32_t segment);
  status RemoveSegment(uint32_t segment);
  status Fail(const error& cause);

  file_system& files_;
  const write_ahead_log_options options_;
  std::vector<uint32_t> leftovers_;  // Segments before a gap.
  uint32_t first_ = 1;
  uint32_t current_ = 0;
  std::unique_ptr<appendable_file> file_;
  std::string gathered_;
  bool is_failed_ = false;
  uint64_t syncs_ = 0;
  uint64_t written_bytes_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STORAGE_WRITE_AHEAD_LOG_H_
