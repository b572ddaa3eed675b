#ifndef SHALLOTPORT_BATCH_JOB_MESSAGES_H_
#define SHALLOTPORT_BATCH_JOB_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace shallotport {

// Commands, queries and replies of the replicated job catalogue, as they are
// encoded in the replicated log and between hosts. In messages about one job,
// an empty account stands for an operator, who may access every job. Messages
// from callers name jobs by public id, messages between hosts by number.

// Number of a job within its group: the index of the log entry that created it.
using job_number = uint64_t;

// Identifies one lease. Increases with each lease that the group grants.
using lease_epoch = uint32_t;

enum class job_phase : uint8_t { kOpen, kRunning, kFinished, kCancelled };
enum class deadline_outlook : uint8_t { kUnknown, kOnTime, kLate };
enum class item_state : uint8_t { kWaiting, kLeased, kDone, kFailed };

// Why a command or query was refused. A refused command changes no state.
struct job_refusal {
  error_kind kind = error_kind::kInternal;
  std::string detail;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, detail);
  }
};

template <typename T>
using job_reply = std::variant<T, job_refusal>;

struct job_counts {
  uint32_t total = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
  uint32_t cancelled = 0;
  uint32_t leased = 0;
  uint32_t suspects = 0;    // Suspect items that wait to be leased.
  uint32_t duplicates = 0;  // Results that arrived after the recorded one.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(total, done, failed, cancelled, leased, suspects, duplicates);
  }
};

struct job_status {
  job_id id;
  account_id account;
  service_id service;
  job_phase phase = job_phase::kOpen;
  job_counts counts;
  wall_milliseconds created = 0;
  wall_milliseconds deadline = 0;
  wall_milliseconds ended = 0;         // 0: not ended.
  wall_milliseconds expected_end = 0;  // 0: unknown.
  deadline_outlook outlook = deadline_outlook::kUnknown;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, account, service, phase, counts, created, deadline, ended,
            expected_end, outlook);
  }
};

// Identifies one item in messages between hosts.
struct item_ref {
  job_number job = 0;
  uint32_t index = 0;

  auto operator<=>(const item_ref&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, index);
  }
};

// ---- Commands of callers ----

// Idempotent: a command with the key and digest of an existing job returns that
// job. The weight and the maximum of attempts come from the configuration of
// the proposing host.
struct create_job {
  account_id account;
  std::string key;     // Idempotency-Key; empty: each command creates a job.
  std::string digest;  // Of the request; must match when the key is reused.
  service_id service;
  std::string path;  // At the endpoint, e.g. "/v1/chat/completions".
  wall_milliseconds deadline = 0;
  uint32_t account_weight = 1;
  uint32_t max_attempts = 3;  // Per item.
  bool is_idempotent = true;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, key, digest, service, path, deadline, account_weight,
            max_attempts, is_idempotent);
  }
};

struct job_created {
  job_id id;
  bool existed = false;
  uint32_t next_index = 0;  // Index of the first item not yet uploaded.
  bool is_sealed = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, existed, next_index, is_sealed);
  }
};

// Idempotent: items that the job already has are skipped.
struct add_items {
  account_id account;
  job_id id;
  uint32_t first_index = 0;
  std::vector<std::string> bodies;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id, first_index, bodies);
  }
};

struct items_added {
  uint32_t next_index = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(next_index);
  }
};

// Ends the upload; only items of sealed jobs are leased. The reply is
// job_status.
struct seal_job {
  account_id account;
  job_id id;
  uint32_t item_count = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id, item_count);
  }
};

// The reply is job_status. A job that has already ended keeps its phase.
struct cancel_job {
  account_id account;
  job_id id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id);
  }
};

// Removes an ended job with its results. Its key is refused until
// job_state_settings::key_horizon_ms has passed.
struct delete_job {
  account_id account;
  job_id id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id);
  }
};

struct job_deleted {
  template <typename Archive>
  void serialize(Archive&) {}
};

// ---- Commands of batch senders ----

struct lease_items {
  host_id host;
  incarnation host_incarnation = 0;
  std::vector<service_id> services;
  uint32_t max_items = 0;
  int64_t lease_milliseconds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, services, max_items, lease_milliseconds);
  }
};

struct leased_job {
  job_number number = 0;
  job_id id;
  account_id account;
  service_id service;
  std::string path;
  wall_milliseconds deadline = 0;
  bool is_idempotent = true;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, id, account, service, path, deadline, is_idempotent);
  }
};

struct leased_item {
  item_ref ref;
  bool is_suspect = false;  // At most one suspect at a time at an endpoint.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ref, is_suspect);
  }
};

// Epoch 0 and no items if none wait. The bodies are read with
// lease_bodies_query.
struct items_leased {
  lease_epoch epoch = 0;
  std::vector<leased_job> jobs;
  std::vector<leased_item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, jobs, items);
  }
};

// Outcome of one leased item at the host that holds its lease.
enum class item_outcome : uint8_t {
  kDone,          // The body is the result.
  kFailed,        // Permanent error: recorded as failed.
  kRetry,         // Transient error: counts as an attempt.
  kEndpointDied,  // Endpoint lost: counts, and makes the item a suspect.
  kReturned,      // Not executed: does not count as an attempt.
};

struct item_result {
  item_ref ref;
  lease_epoch epoch = 0;
  item_outcome outcome = item_outcome::kReturned;
  error_kind kind = error_kind::kInternal;  // Unused for kDone.
  std::string body;                         // The result or the error's detail.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ref, epoch, outcome, kind, body);
  }
};

struct record_results {
  host_id host;
  incarnation host_incarnation = 0;
  std::vector<item_result> results;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, results);
  }
};

enum class record_status : uint8_t {
  kRecorded,   // The item is done or failed, by this result.
  kWaiting,    // The item waits to be leased again.
  kDuplicate,  // Another result was already recorded.
  kStale,      // Not kDone, and the item was not held under that lease.
  kCancelled,  // The job had been cancelled.
  kUnknown,    // No such item, or it was never leased.
};

struct results_recorded {
  std::vector<record_status> statuses;  // One for each result, in order.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(statuses);
  }
};

struct renew_leases {
  host_id host;
  incarnation host_incarnation = 0;
  std::vector<lease_epoch> epochs;
  int64_t lease_milliseconds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, epochs, lease_milliseconds);
  }
};

// Reply to renew_leases and revocations_query: the work that the holder must
// stop.
struct lease_changes {
  std::vector<lease_epoch> ended;  // Leases that the host no longer holds.
  std::vector<item_ref> revoked;   // Cancelled, or settled by another host.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ended, revoked);
  }
};

// Removes everything that has expired by leader_time: leases, ended jobs past
// their retention, abandoned uploads and keys of removed jobs. Proposed by the
// leader's host when next_expiry has passed.
struct expire_jobs {
  template <typename Archive>
  void serialize(Archive&) {}
};

struct jobs_expired {
  uint32_t leases = 0;
  uint32_t jobs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(leases, jobs);
  }
};

// The order of alternatives is part of the log's format: append only.
using job_command = std::variant<create_job,
                                 add_items,
                                 seal_job,
                                 cancel_job,
                                 delete_job,
                                 lease_items,
                                 record_results,
                                 renew_leases,
                                 expire_jobs>;

// ---- Queries ----

struct job_status_query {
  account_id account;
  job_id id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id);
  }
};

// Lists jobs in the order of creation; with an empty account those of all
// accounts (operators).
struct list_jobs_query {
  account_id account;
  job_id after;  // Empty: from the first job.
  uint32_t limit = 100;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, after, limit);
  }
};

struct job_list {
  std::vector<job_status> jobs;
  bool has_more = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(jobs, has_more);
  }
};

// Reads the results of done, failed and cancelled items from `from_index` on.
struct results_query {
  account_id account;
  job_id id;
  uint32_t from_index = 0;
  uint32_t max_bytes = 1 << 20;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id, from_index, max_bytes);
  }
};

enum class final_outcome : uint8_t { kDone, kFailed, kCancelled };

struct result_line {
  uint32_t index = 0;
  final_outcome outcome = final_outcome::kDone;
  error_kind kind = error_kind::kInternal;  // If failed.
  uint32_t attempts = 0;  // Attempts that ended, with the successful one.
  std::string body;       // The result, or the error's detail if failed.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, outcome, kind, attempts, body);
  }
};

struct results_page {
  std::vector<result_line> lines;
  uint32_t next_index = 0;  // First item of the next page.
  bool has_more = false;    // The job has items from next_index on.
  job_phase phase = job_phase::kOpen;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(lines, next_index, has_more, phase);
  }
};

struct lease_bodies_query {
  host_id host;
  incarnation host_incarnation = 0;
  std::vector<item_ref> items;
  uint32_t max_bytes = 1 << 20;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, items, max_bytes);
  }
};

// Bodies of the first requested items, as many as fit into max_bytes but at
// least one. The body of a settled or removed item is empty.
struct lease_bodies {
  std::vector<std::string> bodies;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(bodies);
  }
};

struct revocations_query {
  host_id host;
  incarnation host_incarnation = 0;
  std::vector<lease_epoch> epochs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, epochs);
  }
};

// Counts the items of these services that wait to be leased.
struct waiting_query {
  std::vector<service_id> services;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(services);
  }
};

struct waiting_items {
  uint64_t count = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(count);
  }
};

// Sent by the leader's host, which proposes expire_jobs once that time has
// passed.
struct expiry_query {
  template <typename Archive>
  void serialize(Archive&) {}
};

struct next_expiry {
  wall_milliseconds time = 0;  // Leader time; 0: nothing can expire.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(time);
  }
};

// The order of alternatives is part of the protocol: append only.
using job_query = std::variant<job_status_query,
                               list_jobs_query,
                               results_query,
                               lease_bodies_query,
                               revocations_query,
                               waiting_query,
                               expiry_query>;

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_MESSAGES_H_
