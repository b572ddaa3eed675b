#ifndef SHALLOTPORT_STREAMS_STREAM_MESSAGES_H_
#define SHALLOTPORT_STREAMS_STREAM_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// Longer than any stream, its resumptions by the caller included.
inline constexpr std::chrono::seconds kStreamLifetime{120};

// What the endpoint runs that a stream began at. A stream may only be resumed
// at endpoints of the same service and software version.
struct stream_origin {
  service_id service;
  std::string software_version;

  auto operator<=>(const stream_origin&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, software_version);
  }
};

// Key of a stream: of the caller's request that brought its first event.
uint64_t StreamKey(const request_id& request);

// Streams of one origin.
struct stream_group {
  stream_origin origin;
  std::vector<uint64_t> streams;  // By StreamKey().

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(origin, streams);
  }
};

// Streams that an entry host has begun, sent to job stores.
struct stream_report {
  std::vector<stream_group> groups;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(groups);
  }
};

struct stream_query {
  uint64_t stream = 0;  // By StreamKey().

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(stream);
  }
};

struct stream_reply {
  bool is_known = false;
  stream_origin origin;  // If known.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(is_known, origin);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_STREAMS_STREAM_MESSAGES_H_
