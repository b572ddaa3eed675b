#ifndef SHALLOTPORT_CONTROL_ORDER_STATE_H_
#define SHALLOTPORT_CONTROL_ORDER_STATE_H_

#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>

#include "consensus/replicated_state.h"
#include "control/order_messages.h"

namespace shallotport {

// The orders slice of the replicated log: the queue of orders to endpoints,
// the epoch of the leader that may send them, and recent results. The epoch is
// the log index of the entry by which the leader took over, so it rises
// strictly. An order id is known while its order is queued and among the last
// kSettledKept settled ones.
class order_state final : public replicated_state {
 public:
  static constexpr size_t kMostQueued = 16'384;
  static constexpr size_t kSettledKept = 4'096;

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  // Every query is answered by the order_list.
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  order_reply ApplyCommand(const apply_context& context,
                           const order_command& command);
  order_list List() const;
  log_index epoch() const { return data_.epoch; }

  void WriteState(nlohmann::json& out) const override;

 private:
  struct state_data {
    log_index epoch = 0;
    host_id leader;
    std::map<std::string, order_record> queued;
    std::deque<order_record> settled;  // Oldest first.

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(epoch, leader, queued, settled);
    }
  };
  class writer;

  order_reply On(const apply_context& context, const order_add& add);
  order_reply On(const apply_context& context, const order_take_epoch& take);
  order_reply On(const apply_context& context, const order_settle& settle);
  order_reply ReplyOf(order_verdict verdict,
                      order_status at = order_status::kQueued) const;

  state_data data_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_ORDER_STATE_H_
