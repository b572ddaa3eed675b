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

// Commands, queries and replies of the job catalogue. An empty account in those
// about one job is the operators', who may see all. Commands name jobs by
// their public id where a caller sends them, and by number between our hosts.

// Number of a job within its group: the index of the entry that created it.
using job_number = uint64_t;

// Names one grant of items. Rises with each grant of the group.
using lease_epoch = uint32_t;

enum class job_phase : uint8_t { kOpen, kRunning, kFinished, kCancelled };
enum class deadline_outlook : uint8_t { kUnknown, kOnTime, kLate };
enum class item_state : uint8_t { kWaiting, kLeased, kDone, kFailed };

// Why a command or query was refused; it has then changed nothing.
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
  uint32_t suspects = 0;    // Waiting in quarantine.
  uint32_t duplicates = 0;  // Completions that came after the recorded one.

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

// Names one item between our hosts.
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

// A resend with the same key and digest is answered with the first job. The
// weight and the attempts come from the configuration of the host that asks.
struct create_job {
  account_id account;
  std::string key;     // Idempotency-Key; empty: each request is a new job.
  std::string digest;  // Of the request; a resend must have the same one.
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
  uint32_t next_index = 0;  // Where to go on with the items.
  bool is_sealed = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, existed, next_index, is_sealed);
  }
};

// Items that the job already has are skipped, so a resend changes nothing.
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

// Accepts the job: nothing of it runs before. Answered with job_status.
struct seal_job {
  account_id account;
  job_id id;
  uint32_t item_count = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id, item_count);
  }
};

// Answered with job_status; a job that ended before keeps its outcome.
struct cancel_job {
  account_id account;
  job_id id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, id);
  }
};

// Removes an ended job with its results. Its key stays refused for a while.
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
  bool is_suspect = false;  // At most one of these at an endpoint.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ref, is_suspect);
  }
};

// Epoch 0 with no items: nothing to do. Bodies are read by lease_bodies_query.
struct items_leased {
  lease_epoch epoch = 0;
  std::vector<leased_job> jobs;
  std::vector<leased_item> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, jobs, items);
  }
};

// What became of one leased item at its holder.
enum class item_outcome : uint8_t {
  kDone,          // The body is the result.
  kFailed,        // Cannot succeed: recorded as failed.
  kRetry,         // Failed this time: counts as an attempt.
  kEndpointDied,  // The endpoint went away: counts, and makes it a suspect.
  kReturned,      // Was not run: counts nothing.
};

struct item_result {
  item_ref ref;
  lease_epoch epoch = 0;
  item_outcome outcome = item_outcome::kReturned;
  error_kind kind = error_kind::kInternal;  // Unless done.
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
  kRecorded,   // Done or failed for good, by this result.
  kWaiting,    // Goes back to be run again.
  kDuplicate,  // Another result was recorded before.
  kStale,      // The lease was no longer held and the result is not final.
  kCancelled,  // The job was cancelled before.
  kUnknown,    // No such item.
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

// Answers renew_leases and revocations_query: what the holder must stop.
struct lease_changes {
  std::vector<lease_epoch> ended;  // Nothing of these leases is held any more.
  std::vector<item_ref> revoked;   // Cancelled, or settled by another holder.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ended, revoked);
  }
};

// Proposed by the leader when something is due by leader_time: leases, ended
// jobs past their retention, abandoned uploads, forgotten keys.
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

// Jobs in the order of creation. An empty account lists all (operators).
struct list_jobs_query {
  account_id account;
  job_id after;  // Empty: from the first.
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

// Items that are done, failed or cancelled, from `from_index` on.
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
  uint32_t attempts = 0;                    // Executions that ended.
  std::string body;  // The result, or the error's detail if failed.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, outcome, kind, attempts, body);
  }
};

struct results_page {
  std::vector<result_line> lines;
  uint32_t next_index = 0;  // Where the next page starts.
  bool has_more = false;    // Items from next_index on exist.
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

// Bodies of the first of the asked items, as many as fit; at least one. An
// item that is settled or gone has an empty body.
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

// Whether anything of these services waits to be leased.
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

// Asked by the leader's host, which then proposes expire_jobs.
struct expiry_query {
  template <typename Archive>
  void serialize(Archive&) {}
};

struct next_expiry {
  wall_milliseconds time = 0;  // Leader time; 0: nothing will be due.

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
