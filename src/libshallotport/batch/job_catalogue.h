#ifndef SHALLOTPORT_BATCH_JOB_CATALOGUE_H_
#define SHALLOTPORT_BATCH_JOB_CATALOGUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "batch/item_table.h"
#include "batch/job_messages.h"

namespace shallotport {

// One job: the caller's request, the state of its items and the queues of those
// that wait. Every item below next_unleased has been leased at least once; the
// items from next_unleased on wait in index order.
struct job_record {
  job_number number = 0;
  account_id account;
  std::string key;
  std::string digest;
  service_id service;
  std::string path;
  wall_milliseconds created = 0;
  wall_milliseconds last_upload = 0;  // Creation or last add_items.
  wall_milliseconds deadline = 0;
  wall_milliseconds ended = 0;
  uint32_t max_attempts = 3;
  bool is_idempotent = true;
  job_phase phase = job_phase::kOpen;

  uint32_t done = 0;
  uint32_t failed = 0;
  uint32_t leased = 0;
  uint32_t duplicates = 0;
  uint32_t next_unleased = 0;
  // Items to be leased again. An entry whose item no longer waits is skipped.
  std::vector<uint32_t> returned;
  std::vector<uint32_t> suspects;
  uint32_t waiting_suspects = 0;  // Entries of `suspects` that still wait.
  item_table items;

  bool IsEnded() const {
    return phase == job_phase::kFinished || phase == job_phase::kCancelled;
  }
  uint32_t Remaining() const { return items.size() - done - failed; }
  uint32_t Waiting() const { return Remaining() - leased; }
  uint32_t WaitingRegular() const { return Waiting() - waiting_suspects; }

  // All members but the items.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, account, key, digest, service, path, created, last_upload,
            deadline, ended, max_attempts, is_idempotent, phase, done, failed,
            leased, duplicates, next_unleased, returned, suspects,
            waiting_suspects);
  }
};

// One account that has jobs. `virtual_time` is the number of items leased,
// divided by the account's weight (weighted fair queueing): the account with
// the least is served next.
struct account_usage {
  uint32_t weight = 1;
  uint64_t virtual_time = 0;
  uint32_t running_jobs = 0;
  std::set<job_number> jobs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(weight, virtual_time, running_jobs, jobs);
  }
};

// Throughput of one service and how many suspects may be leased at a time. The
// limit doubles when a suspect succeeds and is reset when one takes an endpoint
// down.
struct service_progress {
  uint64_t items_per_million_seconds = 0;  // 0: unknown.
  wall_milliseconds interval_start = 0;
  uint32_t interval_items = 0;
  uint32_t suspect_limit = 2;
  uint32_t suspects_leased = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(items_per_million_seconds, interval_start, interval_items,
            suspect_limit, suspects_leased);
  }
};

// One lease of items to a host. `expires` is leader time.
struct lease_record {
  host_id host;
  incarnation host_incarnation = 0;
  wall_milliseconds expires = 0;
  std::vector<item_ref> items;
  std::vector<item_ref>
      revoked;  // Reported to the holder until the lease ends.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, host_incarnation, expires, items, revoked);
  }
};

struct catalogue_counters {
  uint64_t jobs_created = 0;
  uint64_t jobs_finished = 0;
  uint64_t jobs_cancelled = 0;
  uint64_t jobs_late = 0;  // Finished after their deadline.
  uint64_t items_leased = 0;
  uint64_t items_done = 0;
  uint64_t items_failed = 0;
  uint64_t items_retried = 0;
  uint64_t endpoint_deaths = 0;
  uint64_t duplicate_results = 0;
  uint64_t stale_results = 0;
  uint64_t leases_expired = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(jobs_created, jobs_finished, jobs_cancelled, jobs_late,
            items_leased, items_done, items_failed, items_retried,
            endpoint_deaths, duplicate_results, stale_results, leases_expired);
  }
};

// The data of the replicated job catalogue, modified only by job_state. The
// containers that are iterated are ordered, so that every member of the group
// iterates in the same order.
struct job_catalogue {
  std::map<job_number, job_record> jobs;
  std::set<job_number> open;     // Not sealed.
  std::set<job_number> running;  // Sealed and not ended.
  std::set<std::pair<wall_milliseconds, job_number>> ended;  // By end time.
  std::map<std::pair<account_id, std::string>, job_number> keys;
  // Hashes of the keys of removed jobs, refused until they expire, and their
  // expiry times in order.
  std::unordered_set<uint64_t> removed_job_keys;
  std::deque<std::pair<wall_milliseconds, uint64_t>> removed_key_expiries;
  std::map<account_id, account_usage> accounts;
  std::map<service_id, service_progress> services;
  std::map<host_id, incarnation> holders;  // Latest known incarnation.
  std::map<lease_epoch, lease_record> leases;
  lease_epoch last_epoch = 0;
  uint64_t leased_in_total = 0;  // lease_order derives shares from it.
  catalogue_counters counters;

  // All members but the jobs and those that Insert() derives from jobs.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(removed_key_expiries, accounts, services, holders, leases,
            last_epoch, leased_in_total, counters);
  }

  // Adds the job and its entries in the indexes.
  job_record& Insert(job_record&& job);
};

// The hash in removed_job_keys of a removed job's key.
uint64_t RemovedKeyHash(const account_id& account, const std::string& key);

// Milliseconds that `items` take at the service's throughput; 0 if unknown.
int64_t ExpectedMilliseconds(const service_progress& service, uint64_t items);

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_CATALOGUE_H_
