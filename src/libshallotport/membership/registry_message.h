#ifndef SHALLOTPORT_MEMBERSHIP_REGISTRY_MESSAGE_H_
#define SHALLOTPORT_MEMBERSHIP_REGISTRY_MESSAGE_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "membership/endpoint_record.h"

namespace shallotport {

// Hash that identifies one incarnation of one endpoint in compact messages.
using endpoint_key = uint32_t;

// Ages are sent in milliseconds in 16 bits, which saturate at about 65 seconds.
inline uint16_t AgeInMilliseconds(duration age) {
  constexpr int64_t kLongest = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(
      std::clamp<int64_t>(age.count() / 1000, 0, kLongest));
}

inline duration AgeOf(uint16_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

// A load report in a message between hosts.
struct registry_load {
  endpoint_key key = 0;
  uint32_t sequence = 0;  // Low bits of the report's sequence number.
  uint16_t running = 0;
  uint16_t queued = 0;
  uint16_t age_milliseconds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, sequence, running, queued, age_milliseconds);
  }
};

// Fresh loads, and a hash of the sender's table by which the receiver detects
// missing records.
struct registry_loads {
  uint64_t table_hash = 0;
  std::vector<registry_load> loads;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(table_hash, loads);
  }
};

struct registry_record {
  endpoint_record endpoint;
  uint64_t changed_sequence = 0;  // Of the last report that changed the record.
  uint16_t age_milliseconds = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, changed_sequence, age_milliseconds);
  }
};

// New or changed records. The receiver acknowledges `sequence`.
struct registry_records {
  uint64_t sequence = 0;
  std::vector<registry_record> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, records);
  }
};

struct registry_ack {
  uint64_t sequence = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

struct registry_digest_entry {
  endpoint_key key = 0;
  uint32_t version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, version);
  }
};

// Keys and versions of the sender's whole table, sent to a host whose table
// hash differs.
struct registry_digest {
  std::vector<registry_digest_entry> entries;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

// Requests records, and the loads of endpoints without recent reports.
struct registry_query {
  std::vector<endpoint_key> records;
  std::vector<endpoint_key> loads;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(records, loads);
  }
};

// A message of peer_channel::kEndpoints.
using registry_message = std::variant<registry_loads,
                                      registry_records,
                                      registry_ack,
                                      registry_digest,
                                      registry_query>;

std::string EncodeRegistryMessage(const registry_message& message);
result<registry_message> DecodeRegistryMessage(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_MEMBERSHIP_REGISTRY_MESSAGE_H_
