#include "entry/response_kind.h"

#include <algorithm>
#include <string_view>

#include "entry/wire_profile.h"
#include "eventio/http_types.h"

namespace shallotport {

namespace {

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool IsEventStream(std::string_view content_type) {
  std::string_view type = content_type.substr(0, content_type.find(';'));
  while (type.ends_with(' ')) {
    type.remove_suffix(1);
  }
  return EqualsIgnoringCase(type, "text/event-stream");
}

}  // namespace

response_facts FactsOf(const response_head& head, const wire_profile& wire) {
  return {head.status, IsEventStream(head.headers.Value("Content-Type")),
          head.headers.Find(wire.endpoint_proof) != nullptr,
          head.headers.Find(wire.not_executed) != nullptr};
}

response_kind ClassifyResponse(const response_facts& facts,
                               bool continues_stream) {
  if (!IsSuccess(facts.status)) {
    const bool is_refusal = facts.is_marked_not_executed || facts.status == 421;
    return is_refusal ? response_kind::kNotExecuted : response_kind::kFailure;
  }
  if (facts.is_marked_not_executed || !facts.has_endpoint_proof) {
    return response_kind::kUnusable;
  }
  if (facts.status == 200 && facts.is_event_stream) {
    return response_kind::kStream;
  }
  return continues_stream ? response_kind::kUnusable : response_kind::kWhole;
}

bool PromisesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace shallotport
