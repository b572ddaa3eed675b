#include "streams/stream_messages.h"

#include "base/digest.h"

namespace shallotport {

uint64_t StreamKey(const request_id& request) {
  return HashOf(request.text());
}

}  // namespace shallotport
