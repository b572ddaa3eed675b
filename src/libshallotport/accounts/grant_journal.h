#ifndef SHALLOTPORT_ACCOUNTS_GRANT_JOURNAL_H_
#define SHALLOTPORT_ACCOUNTS_GRANT_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "accounts/allotment_messages.h"
#include "base/clock.h"

namespace shallotport {

// What the leaders of the job group have granted within the last window, as far
// as this store has heard of it. Every store keeps one, so that the next leader
// can count what entry hosts have sent that were lost together with the leader:
// nobody else can report it. Records form a set: their order and repetitions do
// not matter. Owned by job_store_duty. Pure.
class grant_journal {
 public:
  // `window`: for which records are kept.
  explicit grant_journal(duration window) : window_(window) {}

  // False if the record is known already, or older than the window.
  bool Add(steady_time now, const grant_record& record);
  // Whole records that are not among `known`, with their ages now.
  std::vector<grant_record> RecordsBeyond(
      steady_time now,
      const std::vector<grant_record>& known);
  // All records without their grants.
  std::vector<grant_record> Headers(steady_time now);
  size_t record_count() const { return records_.size(); }

 private:
  // Start of the leader, and number of the record.
  using record_key = std::pair<uint64_t, uint64_t>;
  struct kept_record {
    steady_time granted_at{};
    std::vector<granted_tokens> grants;
  };

  void Expire(steady_time now);

  const duration window_;
  std::map<record_key, kept_record> records_;
  size_t grant_count_ = 0;  // In all records.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_GRANT_JOURNAL_H_
