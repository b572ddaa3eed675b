#ifndef SHALLOTPORT_ACCOUNTS_GRANT_EXCHANGE_H_
#define SHALLOTPORT_ACCOUNTS_GRANT_EXCHANGE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "accounts/grant_journal.h"
#include "base/clock.h"
#include "base/ids.h"

namespace shallotport {

class allotment_ledger;
class fleet_host;

// Keeps the grant journals of the job group's voters alike. The leader tells
// the others what its ledger has granted; a host that begins to lead passes its
// journal to the ledger and reads what it lacks from the others. Owned by
// job_store_duty; runs on the event loop of `fleet`.
class grant_exchange {
 public:
  // `fleet` and `ledger` outlive the exchange. `window`: of the allotments.
  grant_exchange(const clock_source& clock,
                 fleet_host& fleet,
                 allotment_ledger& ledger,
                 duration window);

  // This host begins or ceases to lead the job group, whose other voters are
  // `voters`. Clears the ledger.
  void SetLeading(steady_time now,
                  bool is_leading,
                  std::span<const host_id> voters);
  // Sends what was granted since the last time. Call while this host leads.
  void Tick(steady_time now, std::span<const host_id> voters);
  // False if the frame is of another kind.
  bool OnFrame(uint8_t kind, std::string_view payload);
  // The reply to the call kReadGrantRecords, also of hosts that do not lead.
  std::string ReplyToRead(std::string_view body);

  size_t record_count() const { return journal_.record_count(); }

 private:
  void Send(steady_time now, std::span<const host_id> voters);
  void Add(std::string_view records);

  const clock_source& clock_;
  fleet_host& fleet_;
  allotment_ledger& ledger_;
  grant_journal journal_;
  bool is_leading_ = false;
  uint64_t next_number_ = 1;
  steady_time next_send_at_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_GRANT_EXCHANGE_H_
