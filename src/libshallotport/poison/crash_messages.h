#ifndef SHALLOTPORT_POISON_CRASH_MESSAGES_H_
#define SHALLOTPORT_POISON_CRASH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "poison/request_traits.h"

namespace shallotport {

// Fields that earlier builds do not send: left as they are where a record ends
// before them.
template <typename Archive, typename Field>
void SerializeLaterField(Archive& archive, Field& field) {
  if constexpr (requires { archive.IsAtEnd(); }) {
    if (archive.IsAtEnd()) {
      return;
    }
  }
  archive(field);
}

inline constexpr uint32_t kNeverAnswered = UINT32_MAX;

// An attempt that broke because its endpoint ended without notice. Without
// parts and digest: the start of an endpoint has ended, as a refused connection
// shows; earlier builds pass over it.
struct crash_record {
  uint64_t endpoint = 0;  // Key of the endpoint's start.
  uint64_t request = 0;   // Key of the request's id.
  service_id service;
  uint32_t age_ms = 0;  // Since it broke.
  uint32_t ran_ms = 0;  // From its begin until it broke.
  std::vector<prompt_part> parts;
  request_digest digest = 0;
  // From the sender's last whole answer of the service until it broke.
  uint32_t answered_before_ms = kNeverAnswered;
  domain_id domain;  // Of the endpoint. Empty: not known.
  // From the attempt's first output to its last one; 0 also if not known.
  uint32_t output_ms = 0;

  auto operator<=>(const crash_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, request, service, age_ms, ran_ms, parts);
    SerializeLaterField(archive, digest);
    SerializeLaterField(archive, answered_before_ms);
    SerializeLaterField(archive, domain);
    SerializeLaterField(archive, output_ms);
  }
};

// An endpoint gave a whole answer to a prompt with this part, or to this
// request.
struct whole_answer_record {
  uint64_t part_or_digest = 0;
  uint32_t age_ms = 0;
  bool is_request = false;

  auto operator<=>(const whole_answer_record&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(part_or_digest, age_ms);
    SerializeLaterField(archive, is_request);
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
