#ifndef SHALLOTPORT_SLOTS_SLOT_MESSAGES_H_
#define SHALLOTPORT_SLOTS_SLOT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// An entry host's request for an endpoint's slot on behalf of one online
// request.
struct slot_request {
  service_id service;
  domain_id domain;  // Of the entry host.
  // Endpoints, by LoadKey(), and failure domains that this host does not use
  // now because attempts there failed.
  std::vector<uint32_t> avoided_endpoints;
  std::vector<domain_id> avoided_domains;
  // Endpoints, by LoadKey(), that answered requests of this host with an error
  // since its last slot request; one entry a request.
  std::vector<uint32_t> failed_endpoints;
  uint32_t max_wait_ms = 0;         // Longest useful wait in an engine's queue.
  uint32_t max_retry_after_ms = 0;  // The caller waits no longer than this.
  // Only endpoints of this version; of any if empty.
  std::optional<std::string> software_version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, domain, avoided_endpoints, avoided_domains,
            failed_endpoints, max_wait_ms, max_retry_after_ms,
            software_version);
  }
};

enum class slot_reply_kind : uint8_t {
  kUnavailable = 1,  // This host does not allocate slots now.
  kGranted = 2,      // `endpoint` has a slot or a position in its queue.
  kRefused = 3,      // No slot in time; try again after `retry_after_ms`.
  kNoEndpoint = 4,   // No endpoint that the request may use is known.
  // It waits for a slot; a slot_grant follows. Only to a queued_slot_request.
  kQueued = 5,
};

// A slot request that waits at the leader until a slot is free, for
// request.max_wait_ms. Later builds
// may add fields at the end.
struct queued_slot_request {
  slot_request request;
  uint64_t ticket = 0;   // Names the request among those of its host.
  uint64_t account = 0;  // AccountDigest(); 0: none.
  uint32_t priority = 0;
  uint8_t has_returned = 0;  // Its caller was refused before.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, ticket, account, priority, has_returned);
  }
};

struct slot_reply {
  slot_reply_kind kind = slot_reply_kind::kUnavailable;
  endpoint_id endpoint;
  uint32_t retry_after_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, endpoint, retry_after_ms);
  }
};

// The reply to a request that was queued.
struct slot_grant {
  uint64_t ticket = 0;
  slot_reply reply;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ticket, reply);
  }
};

// The caller of a queued request has left.
struct slot_cancellation {
  uint64_t ticket = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ticket);
  }
};

// What the leader can do that earlier builds cannot.
struct leader_features {
  uint32_t flags = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(flags);
  }
};

inline constexpr uint32_t kQueuesSlotRequests = 1;

}  // namespace shallotport

#endif  // SHALLOTPORT_SLOTS_SLOT_MESSAGES_H_
