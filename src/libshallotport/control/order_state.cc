#include "control/order_state.h"

#include <algorithm>
#include <cereal/types/deque.hpp>
#include <istream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

#include "base/codec.h"

namespace shallotport {

class order_state::writer final : public snapshot_writer {
 public:
  explicit writer(state_data data) : data_(std::move(data)) {}

  status Write(std::ostream& out) override {
    const std::string bytes = Encode(data_);
    out.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (!out) {
      return MakeError(error_kind::kStorageFailed, "writing the orders");
    }
    return success{};
  }

 private:
  state_data data_;
};

std::string order_state::Apply(const apply_context& context,
                               std::string_view command) {
  const auto decoded = Decode<order_command>(command);
  if (!IsOk(decoded)) {
    return Encode(ReplyOf(order_verdict::kMalformed));
  }
  return Encode(ApplyCommand(context, ValueOf(decoded)));
}

order_reply order_state::ApplyCommand(const apply_context& context,
                                      const order_command& command) {
  return std::visit([&](const auto& typed) { return On(context, typed); },
                    command);
}

order_reply order_state::ReplyOf(order_verdict verdict, order_status at) const {
  return {verdict, at, data_.epoch};
}

order_reply order_state::On(const apply_context& context,
                            const order_add& add) {
  if (add.order.id.empty() || add.order.endpoint.IsEmpty()) {
    return ReplyOf(order_verdict::kMalformed);
  }
  const auto queued = data_.queued.find(add.order.id);
  const auto settled = std::find_if(data_.settled.begin(), data_.settled.end(),
                                    [&](const order_record& record) {
                                      return record.order.id == add.order.id;
                                    });
  const order_record* known = nullptr;
  if (queued != data_.queued.end()) {
    known = &queued->second;
  } else if (settled != data_.settled.end()) {
    known = &*settled;
  }
  if (known != nullptr) {
    return ReplyOf(known->order == add.order ? order_verdict::kRepeated
                                             : order_verdict::kIdReused,
                   known->at);
  }
  if (data_.queued.size() >= kMostQueued) {
    return ReplyOf(order_verdict::kFull);
  }
  order_record record;
  record.order = add.order;
  record.target = add.target;
  record.accepted = context.index;
  data_.queued.emplace(add.order.id, std::move(record));
  return ReplyOf(order_verdict::kAccepted);
}

order_reply order_state::On(const apply_context& context,
                            const order_take_epoch& take) {
  data_.epoch = context.index;
  data_.leader = take.leader;
  return ReplyOf(order_verdict::kAccepted);
}

order_reply order_state::On(const apply_context&, const order_settle& settle) {
  if (EpochOf(settle.fencing) != data_.epoch) {
    return ReplyOf(order_verdict::kStaleEpoch);
  }
  const auto found = data_.queued.find(settle.id);
  if (found == data_.queued.end()) {
    return ReplyOf(order_verdict::kUnknown);
  }
  order_record record = std::move(found->second);
  data_.queued.erase(found);
  record.at = settle.is_done ? order_status::kDone : order_status::kFailed;
  record.fencing = settle.fencing;
  record.detail = settle.detail;
  data_.settled.push_back(std::move(record));
  if (data_.settled.size() > kSettledKept) {
    data_.settled.pop_front();
  }
  return ReplyOf(order_verdict::kAccepted, data_.settled.back().at);
}

order_list order_state::List() const {
  order_list list;
  list.epoch = data_.epoch;
  list.leader = data_.leader;
  for (const auto& [id, record] : data_.queued) {
    list.queued.push_back(record);
  }
  std::sort(list.queued.begin(), list.queued.end(),
            [](const order_record& a, const order_record& b) {
              return a.accepted < b.accepted;
            });
  list.settled.assign(data_.settled.begin(), data_.settled.end());
  return list;
}

std::string order_state::Query(std::string_view) const {
  return Encode(List());
}

std::unique_ptr<snapshot_writer> order_state::BeginSnapshot() const {
  return std::make_unique<writer>(data_);
}

status order_state::LoadSnapshot(std::istream& in) {
  const std::string bytes{std::istreambuf_iterator<char>(in),
                          std::istreambuf_iterator<char>()};
  auto decoded = Decode<state_data>(bytes);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  data_ = std::move(ValueOf(decoded));
  return success{};
}

void order_state::WriteState(nlohmann::json& out) const {
  out["leader"] = data_.leader.text();
  nlohmann::json& counters = out["counters"];
  counters["orders_epoch"] = data_.epoch;
  counters["orders_queued"] = data_.queued.size();
  counters["orders_settled_kept"] = data_.settled.size();
}

}  // namespace shallotport
