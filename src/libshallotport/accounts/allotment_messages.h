#ifndef SHALLOTPORT_ACCOUNTS_ALLOTMENT_MESSAGES_H_
#define SHALLOTPORT_ACCOUNTS_ALLOTMENT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace shallotport {

// What an entry host needs of one account's allotment.
struct allotment_need {
  uint64_t account = 0;    // AccountDigest().
  uint32_t waiting = 0;    // Requests that wait for a token.
  uint32_t ahead = 0;      // Tokens for requests that are expected.
  uint32_t returned = 0;   // Tokens of an earlier grant that it does not use.
  uint32_t overdrawn = 0;  // Requests that it sent without a token.
  // To a leader that is new to the host: requests that it has sent, by age in
  // steps of half a second.
  std::vector<uint32_t> sent;

  bool operator==(const allotment_need&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, waiting, ahead, returned, overdrawn, sent);
  }
};

// Tokens of one account that an entry host may use.
struct allotment_grant {
  uint64_t account = 0;
  uint32_t granted = 0;
  // Until the account has another token; 0 if every waiting request got one.
  uint32_t next_token_ms = 0;
  // Requests that the host may send in a window by its own decision if it loses
  // the leader: the larger a part of the account's requests come to it, the
  // more.
  uint32_t own_share = 0;

  bool operator==(const allotment_grant&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, granted, next_token_ms, own_share);
  }
};

// Tokens of one account that one start of an entry host was granted.
struct granted_tokens {
  uint64_t account = 0;     // AccountDigest().
  uint64_t host_start = 0;  // host_start::Key().
  int32_t tokens = 0;       // Below 0: more were returned than granted.

  bool operator==(const granted_tokens&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(account, host_start, tokens);
  }
};

// What the leader of the job group has granted within a fraction of a second,
// for the stores that may lead after it.
struct grant_record {
  uint64_t leader_start = 0;  // Of the leader's process.
  uint64_t number = 0;        // Counts the records of that process.
  uint32_t age_ms = 0;        // When the message was sent.
  std::vector<granted_tokens> grants;

  bool operator==(const grant_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(leader_start, number, age_ms, grants);
  }
};

// Later builds may add fields at the end of each message. Messages of another
// kind are kCorrupt: hosts of an earlier build answer calls that they do not
// know with such.
std::string EncodeNeeds(const std::vector<allotment_need>& needs);
result<std::vector<allotment_need>> DecodeNeeds(std::string_view bytes);
// Only the leader of the job group grants tokens.
std::string EncodeGrants(const std::vector<allotment_grant>& grants);
result<std::vector<allotment_grant>> DecodeGrants(std::string_view bytes);

// Accounts that have used much of their allotments, from the leader to all
// entry hosts.
std::string EncodeBusyAccounts(const std::vector<uint64_t>& accounts);
result<std::vector<uint64_t>> DecodeBusyAccounts(std::string_view bytes);

std::string EncodeGrantRecords(const std::vector<grant_record>& records);
result<std::vector<grant_record>> DecodeGrantRecords(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_ACCOUNTS_ALLOTMENT_MESSAGES_H_
