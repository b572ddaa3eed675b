#ifndef SHALLOTPORT_CONTROL_ORDER_SENDER_H_
#define SHALLOTPORT_CONTROL_ORDER_SENDER_H_

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/order_messages.h"

namespace shallotport {

struct order_sender_options {
  // Longest lease that a former leader can still hold by its own clock.
  std::chrono::milliseconds longest_lease{3'000};
  // A send is answered or surely dead on the network by then.
  std::chrono::milliseconds longest_flight{30'000};
  std::chrono::milliseconds retry_delay{5'000};
  uint32_t most_attempts = 5;
  // The weight store's limits.
  double loads_per_second = 1.0;
  double load_burst = 4.0;
  uint32_t loads_at_once = 8;
};

// What an endpoint answered to one send, or that it did not in time.
enum class order_answer : uint8_t {
  kDone,
  kRefused,      // It will never execute this order.
  kOldFencing,   // It has seen a higher fencing number.
  kUnreachable,  // Surely not received.
  kNoAnswer,     // It may execute the order until the longest flight is over.
};

struct order_send {
  endpoint_order order;
  fencing_number fencing = 0;
};

struct order_actions {
  std::vector<order_send> sends;
  std::vector<order_settle> settles;  // Propose to the log.
  bool must_take_epoch = false;       // Propose an order_take_epoch.
};

// Sends the queued orders while its host leads the log. Each endpoint has one
// order under way at a time, in the order of acceptance. An endpoint that does
// not check fencing numbers gets nothing from a new leader before the former
// leader's lease and its longest order flight are over, and nothing after an
// unanswered send before that send's flight is over.
class order_sender {
 public:
  explicit order_sender(order_sender_options options = {});

  // This host leads, and its order_take_epoch was applied at `epoch`.
  void OnEpochTaken(steady_time now, log_index epoch);
  // Leadership began at `now`; or it ended, and nothing is sent any more.
  void OnLeadershipGained(steady_time now);
  void OnLeadershipLost();

  // The epoch in force at a read that confirmed the leadership. One above the
  // own means that leadership was lost and regained unnoticed.
  void OnEpochSeen(steady_time now, log_index epoch);

  // The queue as applied so far; replaces the former one.
  void OnQueue(const std::vector<order_record>& queued);
  void OnEndpoint(const endpoint_id& endpoint, bool checks_fencing);
  void OnEndpointGone(const endpoint_id& endpoint);

  void OnAnswer(steady_time now,
                const std::string& order_id,
                fencing_number fencing,
                order_answer answer,
                std::string detail);

  // What is due. `lease_until` is the end of the leader's own lease; nothing is
  // sent at or after it.
  order_actions Step(steady_time now, steady_time lease_until);

  void WriteState(nlohmann::json& out) const;

 private:
  struct endpoint_state {
    bool is_present = false;
    bool checks_fencing = false;
    std::string under_way;       // Order id; empty: none.
    fencing_number fencing = 0;  // Of the order under way.
    steady_time answer_by{};
    steady_time quiet_until{};  // Nothing is sent before.
  };
  struct attempt_count {
    uint32_t attempts = 0;
    std::optional<order_settle> settle;  // Until the queue drops the order.
    steady_time settle_due{};            // When to propose it, again.
  };

  bool CanSend(steady_time now, const order_record& record);
  bool TakeLoadToken(steady_time now, order_action action);
  void Send(steady_time now, const order_record& record, order_actions& out);
  void ProposeSettle(steady_time now,
                     attempt_count& count,
                     order_actions& out) const;
  void ExpireAnswers(steady_time now);
  void Retry(steady_time now,
             endpoint_state& endpoint,
             const std::string& id,
             fencing_number fencing,
             std::string detail);

  order_sender_options options_;
  bool is_leader_ = false;
  log_index epoch_ = 0;      // 0: not taken yet.
  steady_time epoch_due_{};  // When to propose the taking, again.
  uint64_t sends_ = 0;
  steady_time former_leader_done_{};
  std::vector<order_record> queue_;
  std::map<endpoint_id, endpoint_state> endpoints_;
  std::map<std::string, attempt_count> attempts_;
  std::set<std::string> loads_under_way_;
  double load_tokens_ = 0;
  steady_time tokens_at_{};
  uint64_t total_sends_ = 0;
  uint64_t total_stale_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_ORDER_SENDER_H_
