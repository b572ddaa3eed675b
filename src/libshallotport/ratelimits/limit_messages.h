#ifndef SHALLOTPORT_RATELIMITS_LIMIT_MESSAGES_H_
#define SHALLOTPORT_RATELIMITS_LIMIT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "fleet/endpoint_start.h"

namespace shallotport {

// What an endpoint's last known answer said of its limit.
struct limit_record {
  endpoint_start start;
  bool is_limited = false;  // False: the limit has ended.
  double per_second = 0;
  uint32_t age_ms = 0;  // Since that answer.

  bool operator==(const limit_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(start, is_limited, per_second, age_ms);
  }
};

// Limits that one host tells another of. Each record is encoded on its own, so
// that later builds can add fields to records and messages.
std::string EncodeLimits(const std::vector<limit_record>& records);
result<std::vector<limit_record>> DecodeLimits(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_RATELIMITS_LIMIT_MESSAGES_H_
