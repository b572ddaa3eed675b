#ifndef SHALLOTPORT_POISON_CRASH_MESSAGES_H_
#define SHALLOTPORT_POISON_CRASH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "poison/prompt_parts.h"

namespace shallotport {

// An attempt that broke because its endpoint ended without notice.
struct crash_record {
  uint64_t endpoint = 0;  // Key of the endpoint's start.
  uint64_t request = 0;   // Key of the request's id.
  service_id service;
  uint32_t age_ms = 0;  // Since it broke.
  uint32_t ran_ms = 0;  // From its begin until it broke.
  std::vector<prompt_part> parts;

  auto operator<=>(const crash_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, request, service, age_ms, ran_ms, parts);
  }
};

// An endpoint gave a whole answer to a prompt with this part.
struct whole_answer_record {
  prompt_part part = 0;
  uint32_t age_ms = 0;

  auto operator<=>(const whole_answer_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(part, age_ms);
  }
};

// A service gave whole answers to some requests after its endpoints had crashed
// under others.
struct service_answer_record {
  service_id service;
  uint32_t age_ms = 0;

  auto operator<=>(const service_answer_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, age_ms);
  }
};

// What hosts tell each other about endpoints that crash. Each record is encoded
// on its own, so that later builds can add fields to records and messages.
struct crash_evidence {
  std::vector<crash_record> crashes;
  std::vector<whole_answer_record> whole_answers;
  std::vector<service_answer_record> service_answers;

  bool IsEmpty() const {
    return crashes.empty() && whole_answers.empty() && service_answers.empty();
  }
};

std::string EncodeEvidence(const crash_evidence& evidence);
result<crash_evidence> DecodeEvidence(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_CRASH_MESSAGES_H_
