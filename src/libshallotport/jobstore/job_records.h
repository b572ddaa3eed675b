#ifndef SHALLOTPORT_JOBSTORE_JOB_RECORDS_H_
#define SHALLOTPORT_JOBSTORE_JOB_RECORDS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "jobstore/shared_text.h"
#include "streams/stream_messages.h"

namespace shallotport {

// One request of a batch job, as the caller sent it.
struct job_item {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  shared_text body;
  uint64_t tokens = 0;  // Of the prompt and the maximum output.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, path, headers, body, tokens);
  }
};

// A whole job, with the settings of its route when it was submitted.
struct job_submission {
  job_id job;
  // Its limit of waiting tokens applies; by ScopeToAccount() if an account has
  // submitted the job.
  std::string route;
  std::string host;                   // Host header of the submission.
  std::string prefix;                 // Of the route; FormatAcceptedRoute().
  uint64_t waiting_tokens_limit = 0;  // 0: unlimited.
  uint32_t objective_ms = 0;          // Until all results are due.
  uint32_t retention_ms = 0;          // Afterwards items may be given up.
  // Failed executions after which an item is a dead letter.
  uint32_t max_failures = 1;
  std::vector<job_item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, route, host, prefix, waiting_tokens_limit, objective_ms,
            retention_ms, max_failures, items);
  }
};

// The final result of an item.
struct item_result {
  std::string item_id;
  bool is_completed = false;  // Otherwise the item is a dead letter.
  shared_text text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(item_id, is_completed, text);
  }
};

// Output that an item without a result has received since its last committed
// event.
struct item_progress {
  uint32_t item_index = 0;  // In the submission.
  std::string base_event;   // The text continues after this event.
  std::string text;         // Received since then.
  std::string last_event;   // Last event of the text.
  stream_origin origin;     // Of the text.
  // The text begins anew and replaces what was committed up to base_event.
  bool is_restart = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(item_index, base_event, text, last_event, origin, is_restart);
  }
};

enum class job_store_reply_kind : uint8_t {
  kDone = 1,
  kOverLimit = 2,  // Not accepted: too many waiting tokens.
  kNotFound = 3,
  kNotLeader = 4,  // Nothing was done; `leader` may name the leader.
  kUnknown = 5,    // May or may not have been done.
  kConflict = 6,   // The text does not continue the committed text.
};

// Reply of a job store to any call; each call uses the fields that it needs.
struct job_store_reply {
  job_store_reply_kind kind = job_store_reply_kind::kUnknown;
  host_id leader;
  uint32_t total = 0;
  std::vector<item_result> results;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, leader, total, results, body);
  }
};

struct job_read_request {
  job_id job;
  uint32_t start_position = 0;
  uint32_t wait_ms = 0;  // Time to wait for a first result.
  std::string item_id;   // Only for ReadItem.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, start_position, wait_ms, item_id);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_JOB_RECORDS_H_
