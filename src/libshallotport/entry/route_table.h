#ifndef SHALLOTPORT_ENTRY_ROUTE_TABLE_H_
#define SHALLOTPORT_ENTRY_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/account_rules.h"
#include "accounts/account_table.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/random_source.h"
#include "base/result.h"

namespace shallotport {

// Whether a route's requests may be executed more than once, and how their
// responses are sent.
enum class request_kind : uint8_t {
  kSafe,       // Idempotent: may be executed more than once.
  kUnsafe,     // Executed at most once for each request of the caller.
  kStreaming,  // An event stream; unsafe unless it is resumable.
  kBatch,      // Jobs of many items that are executed later.
};

struct weighted_service {
  service_id service;
  uint32_t weight = 1;
};

// The rules for requests to one host name and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string prefix;
  request_kind kind = request_kind::kUnsafe;
  std::chrono::milliseconds timeout{0};  // Maximum time for the whole response.
  std::chrono::milliseconds objective{0};  // Response time objective.
  uint32_t priority = 0;                   // 0 is the most urgent.
  std::vector<weighted_service> services;
  uint32_t max_executions = 1;  // Maximum executions of one request.
  bool is_resumable = false;
  bool is_public = false;                      // Callers need no key.
  std::chrono::milliseconds job_objective{0};  // For all results of a job.
  // After it, unfinished items may be dropped.
  std::chrono::milliseconds job_retention{0};
  uint64_t waiting_tokens_limit = 0;  // 0: no limit.

  bool IsRepeatable() const {
    return kind == request_kind::kSafe ||
           (kind == request_kind::kStreaming && is_resumable) ||
           kind == request_kind::kBatch;
  }
  // Some of its requests go to the service.
  bool SendsTo(const service_id& service) const;
};

struct service_rules {
  service_id name;
  uint32_t max_connections = 0;  // To one endpoint, from all callers.
  uint32_t engine_slots = 0;     // 0: not a model engine.
};

struct caller_limits {
  uint32_t header_bytes = 16u << 10;
  uint64_t body_bytes = 4u << 20;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

// The complete routing configuration, as the operator supplied it.
struct route_configuration {
  uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_rules> services;
  caller_limits limits;
  // Callers need a key of an account, also if the list is empty.
  bool has_accounts = false;
  std::vector<account_rules> accounts;
};

// Returns kInvalidRequest, naming the route or the account, if the
// configuration must not come into force.
status CheckRoutes(const route_configuration& configuration);

// Finds the route of a request: of the routes for its host name, the one with
// the longest prefix of its path.
class route_table {
 public:
  route_table() = default;
  explicit route_table(route_configuration configuration);

  const route* Match(std::string_view host, std::string_view path) const;
  const route_configuration& configuration() const { return configuration_; }
  const account_table& accounts() const { return accounts_; }
  // Whether callers without a key may have batch jobs on this host name.
  bool HasPublicJobs(std::string_view host) const;

 private:
  route_configuration configuration_;
  account_table accounts_;
  std::map<std::string, std::vector<size_t>, std::less<>> by_host_;
};

// Selects one of the route's services at random, by weight.
service_id DrawService(const route& split_route, random_source& random);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ROUTE_TABLE_H_
