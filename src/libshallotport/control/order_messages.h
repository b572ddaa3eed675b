#ifndef SHALLOTPORT_CONTROL_ORDER_MESSAGES_H_
#define SHALLOTPORT_CONTROL_ORDER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace shallotport {

enum class order_action : uint8_t {
  kLoadModel = 0,
  kLoadAdapter = 1,
  kLoadVersion = 2,
  kSetRole = 3,
};

// Loads read from the weight store.
inline bool IsLoad(order_action action) {
  return action != order_action::kSetRole;
}

// One order to one endpoint. The id is chosen by whoever gives the order; a
// resend keeps it, and the endpoint executes an id once.
struct endpoint_order {
  std::string id;
  endpoint_id endpoint;
  order_action action = order_action::kLoadModel;
  service_id model;     // kLoad*: what to load, or to load into.
  std::string adapter;  // kLoadAdapter.
  std::string version;  // kLoadVersion.
  std::string role;     // kSetRole.

  bool operator==(const endpoint_order&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, endpoint, action, model, adapter, version, role);
  }
};

enum class order_status : uint8_t { kQueued = 0, kDone = 1, kFailed = 2 };

// Where the order's endpoint was found when the order was given.
struct order_target {
  std::string address;  // "IP:port" of its HTTP interface.
  bool checks_fencing = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(address, checks_fencing);
  }
};

struct order_record {
  endpoint_order order;
  order_target target;
  order_status at = order_status::kQueued;
  log_index accepted = 0;      // Orders of one endpoint run in this order.
  fencing_number fencing = 0;  // Under which it was settled.
  std::string detail;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(order, target, at, accepted, fencing, detail);
  }
};

// Adds an order to its endpoint's queue.
struct order_add {
  endpoint_order order;
  order_target target;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(order, target);
  }
};

// Begins the sending of a new leader: results under older epochs are refused
// from here on.
struct order_take_epoch {
  host_id leader;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(leader);
  }
};

// Settles an order, by the leader of the epoch.
struct order_settle {
  std::string id;
  fencing_number fencing = 0;
  bool is_done = false;
  std::string detail;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, fencing, is_done, detail);
  }
};

using order_command = std::variant<order_add, order_take_epoch, order_settle>;

enum class order_verdict : uint8_t {
  kAccepted = 0,
  kRepeated = 1,    // Add: the id is known; its state is in the reply.
  kIdReused = 2,    // Add: the id is known for a different order.
  kFull = 3,        // Add: too many orders are queued.
  kStaleEpoch = 4,  // Settle: a later leader has taken over.
  kUnknown = 5,     // Settle: no such order is queued.
  kMalformed = 6,
};

struct order_reply {
  order_verdict verdict = order_verdict::kMalformed;
  order_status at = order_status::kQueued;
  log_index epoch = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(verdict, at, epoch);
  }
};

// All orders, queued ones first, and the epoch in force.
struct order_list {
  log_index epoch = 0;
  host_id leader;
  std::vector<order_record> queued;
  std::vector<order_record> settled;  // Newest last.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, leader, queued, settled);
  }
};

// A fencing number joins the leader's epoch and the number of the send within
// it, so that it rises with every send and across leaders.
inline constexpr uint32_t kSendBits = 24;
inline fencing_number FencingNumber(log_index epoch, uint64_t send) {
  return (epoch << kSendBits) | send;
}
inline log_index EpochOf(fencing_number number) {
  return number >> kSendBits;
}

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_ORDER_MESSAGES_H_
