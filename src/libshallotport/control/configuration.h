#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace shallotport {

enum class service_kind : uint8_t { kModel, kPlain };

// Who a caller is and how much it may send.
struct account_configuration {
  account_id id;
  std::string token_sha256;            // Lower-case hex of the bearer token.
  uint32_t requests_per_second = 100;  // Over all hosts.
  uint32_t concurrent_requests = 200;  // Over all hosts.
  uint32_t batch_weight = 1;           // Share among accounts with jobs.
  std::vector<service_id> services;    // What it may call; empty: everything.

  bool operator==(const account_configuration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, token_sha256, requests_per_second, concurrent_requests,
            batch_weight, services);
  }
};

// One model or plain service that endpoints may announce.
struct service_configuration {
  service_id id;
  service_kind kind = service_kind::kModel;
  bool is_idempotent = true;
  std::vector<account_id> accounts;  // Who may call it; empty: everyone.
  std::chrono::milliseconds default_deadline{30'000};
  std::chrono::milliseconds first_byte_timeout{5'000};
  std::chrono::milliseconds token_gap_timeout{2'000};
  // Attempts a request. A non-idempotent one is tried again only after a proof
  // that the attempt before was not run.
  uint32_t max_attempts = 3;
  std::chrono::milliseconds hedge_after{0};  // 0: no hedging.
  std::string routing_strategy = "adaptive";
  std::string batch_strategy = "guarded";
  uint32_t online_reserve_slots = 1;  // Per endpoint, kept free of batch.
  uint32_t batch_max_attempts = 3;    // Per item.

  bool operator==(const service_configuration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive);
};

// Everything that operators put into force as one unit. The revision under
// which it was accepted travels beside it. Accounts and services are sorted by
// id once a configuration has been parsed or put into force.
struct configuration {
  std::vector<account_configuration> accounts;
  std::vector<service_configuration> services;

  bool operator==(const configuration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(accounts, services);
  }
};

// The account or service with this id, or null.
const account_configuration* FindAccount(const configuration& config,
                                         const account_id& id);
const service_configuration* FindService(const configuration& config,
                                         const service_id& id);

// Whether the account may call the service: both name each other, where an
// empty list names everything.
bool MayCall(const account_configuration& account,
             const service_configuration& service);

// Sorts accounts and services by id.
void SortById(configuration& config);

template <typename Archive>
void service_configuration::serialize(Archive& archive) {
  // Durations travel as their count of milliseconds.
  int64_t deadline = default_deadline.count();
  int64_t first_byte = first_byte_timeout.count();
  int64_t token_gap = token_gap_timeout.count();
  int64_t hedge = hedge_after.count();
  archive(id, kind, is_idempotent, accounts, deadline, first_byte, token_gap,
          max_attempts, hedge, routing_strategy, batch_strategy,
          online_reserve_slots, batch_max_attempts);
  default_deadline = std::chrono::milliseconds(deadline);
  first_byte_timeout = std::chrono::milliseconds(first_byte);
  token_gap_timeout = std::chrono::milliseconds(token_gap);
  hedge_after = std::chrono::milliseconds(hedge);
}

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_H_
