#ifndef SHALLOTPORT_ROUTING_ACCOUNT_LIMITER_H_
#define SHALLOTPORT_ROUTING_ACCOUNT_LIMITER_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "control/configuration.h"

namespace shallotport {

// Holds each account to its request rate and concurrency. Every host enforces
// its own share of the limit, so that the sum over hosts keeps the limit
// without any message. Pure; owned by the request_router.
class account_limiter {
 public:
  explicit account_limiter(host_id self);

  void SetConfiguration(const configuration& settings);

  // Number of hosts, of all failure domains, that share the limits.
  void SetHostCount(uint32_t hosts);

  // Takes one request of the account's rate and concurrency. Fails with
  // kOverLimit and retry_after; accounts without configuration are not limited.
  status Acquire(steady_time now, const account_id& account);

  // Ends what Acquire() began.
  void Release(const account_id& account);

  void WriteState(nlohmann::json& out) const;

 private:
  struct account_state {
    double rate = 0;  // Requests per second, over all hosts.
    double concurrency = 0;
    double tokens = 0;
    steady_time refilled_at;
    uint32_t in_flight = 0;
  };

  void Refill(steady_time now, account_state& account) const;

  host_id self_;
  uint32_t hosts_ = 1;
  std::unordered_map<account_id, account_state> accounts_;
  uint64_t refused_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_ACCOUNT_LIMITER_H_
