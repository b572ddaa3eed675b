#ifndef SHALLOTPORT_JOBSTORE_JOB_RECORDS_H_
#define SHALLOTPORT_JOBSTORE_JOB_RECORDS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "jobstore/shared_text.h"

namespace shallotport {

// One request of a batch job, as its caller sent it.
struct job_item {
  std::string id;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  shared_text body;
  uint64_t tokens = 0;  // Of the prompt and the longest output.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, path, headers, body, tokens);
  }
};

// A whole job with the rules of its route at the time.
struct job_submission {
  job_id job;
  std::string route;   // Whose limit of waiting tokens it counts against.
  std::string host;    // The host name that it was sent to.
  std::string prefix;  // Of the route; items are routed by it.
  uint64_t waiting_tokens_limit = 0;  // 0: none.
  uint32_t objective_ms = 0;          // For all of its results.
  uint32_t retention_ms = 0;          // Then items may be given up.
  uint32_t max_failures = 1;          // Runs that fail before an item is dead.
  std::vector<job_item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, route, host, prefix, waiting_tokens_limit, objective_ms,
            retention_ms, max_failures, items);
  }
};

// How an item ended.
struct item_result {
  std::string item_id;
  bool is_completed = false;  // Otherwise it can never be done.
  shared_text text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(item_id, is_completed, text);
  }
};

// What an unfinished item has got from its endpoints so far.
struct item_progress {
  uint32_t item_index = 0;  // Its place in the submission.
  std::string base_event;   // The text goes on after this one.
  std::string text;         // Added since then.
  std::string last_event;   // Of the text.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(item_index, base_event, text, last_event);
  }
};

enum class job_store_reply_kind : uint8_t {
  kDone = 1,
  kOverLimit = 2,  // Not accepted: too many tokens wait.
  kNotFound = 3,
  kNotLeader = 4,  // Nothing was done here; `leader` may help.
  kUnknown = 5,    // It may or may not have been done.
  kConflict = 6,   // The text does not go on where the item's text ends.
};

// Answers every call about jobs; each call uses its own fields.
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
  uint32_t wait_ms = 0;  // How long to wait for a first result.
  std::string item_id;   // For kReadItem.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, start_position, wait_ms, item_id);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_JOB_RECORDS_H_
