#ifndef SHALLOTPORT_ENTRY_ACCOUNT_ADMISSION_H_
#define SHALLOTPORT_ENTRY_ACCOUNT_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "accounts/allotment_budget.h"
#include "base/clock.h"
#include "base/random_source.h"

namespace shallotport {

class allotment_client;
class decision_log;
class http_exchange;
struct caller_request;
struct route;

// Admits callers' requests by their accounts' allotments, before anything else
// is done for them, and refuses the others with 429. Owned by entry_duty; runs
// on its event loop.
class account_admission {
 public:
  using admitted_handler =
      std::function<void(const route& matched_route,
                         caller_request request,
                         std::shared_ptr<http_exchange> exchange)>;

  // Requests of one account, as admitted and refused here.
  struct account_use {
    std::string account;
    uint64_t admitted = 0;
    uint64_t refused = 0;
  };

  account_admission(const clock_source& clock,
                    decision_log& log,
                    std::string retry_after_header,
                    uint64_t seed);
  ~account_admission();

  // Without a client, every request is admitted.
  void SetAllotments(allotment_client* allotments) { allotments_ = allotments; }

  // Calls `on_admitted` if the request may be served, at once or a little
  // later. A caller that leaves meanwhile is forgotten.
  void Begin(const route& matched_route,
             caller_request request,
             std::shared_ptr<http_exchange> exchange,
             admitted_handler on_admitted);
  // An admitted request is sent once more.
  void OnRepeated(const caller_request& request);
  // An admitted request was refused later, without having been executed.
  void OnNotExecuted(const caller_request& request);

  // The accounts with the most requests here, and the sum of all others, whose
  // account is empty.
  std::vector<account_use> MostUsed(size_t count) const;

 private:
  struct waiting_request;

  void OnVerdict(const std::shared_ptr<waiting_request>& waiting,
                 const allotment_verdict& verdict);
  void Refuse(waiting_request& waiting, const allotment_verdict& verdict);

  const clock_source& clock_;
  decision_log& log_;
  const std::string retry_after_header_;
  random_source random_;
  allotment_client* allotments_ = nullptr;
  std::set<std::shared_ptr<waiting_request>> waiting_;
  std::map<std::string, account_use> uses_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_ACCOUNT_ADMISSION_H_
