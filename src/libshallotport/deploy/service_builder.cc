#include "deploy/service_builder.h"

#include <array>

namespace shallotport {
namespace {

constexpr std::array<std::string_view, 4> kRoutingNames{
    "adaptive", "round_robin", "least_reported_load", "random_two_choices"};
constexpr std::array<std::string_view, 3> kBatchNames{"guarded", "greedy",
                                                      "fixed_share"};

}  // namespace

service_builder::service_builder(std::string_view id,
                                 service_kind kind,
                                 bool is_idempotent) {
  service_.id = service_id(std::string(id));
  service_.kind = kind;
  service_.is_idempotent = is_idempotent;
}

service_builder service_builder::Model(std::string_view id) {
  return {id, service_kind::kModel, true};
}

service_builder service_builder::Plain(std::string_view id) {
  return {id, service_kind::kPlain, true};
}

service_builder service_builder::AtMostOnce(std::string_view id) {
  return {id, service_kind::kPlain, false};
}

service_builder& service_builder::OnlyFor(
    std::initializer_list<std::string_view> accounts) {
  for (const std::string_view account : accounts) {
    service_.accounts.emplace_back(std::string(account));
  }
  return *this;
}

service_builder& service_builder::WithDeadline(
    std::chrono::milliseconds deadline) {
  service_.default_deadline = deadline;
  return *this;
}

service_builder& service_builder::WithSilenceTimeouts(
    std::chrono::milliseconds first_byte,
    std::chrono::milliseconds token_gap) {
  service_.first_byte_timeout = first_byte;
  service_.token_gap_timeout = token_gap;
  return *this;
}

service_builder& service_builder::WithMaxAttempts(uint32_t attempts) {
  service_.max_attempts = attempts;
  return *this;
}

service_builder& service_builder::WithHedgingAfter(
    std::chrono::milliseconds delay) {
  service_.hedge_after = delay;
  return *this;
}

service_builder& service_builder::WithRouting(routing_choice choice) {
  service_.routing_strategy = kRoutingNames.at(static_cast<size_t>(choice));
  return *this;
}

service_builder& service_builder::WithBatch(batch_choice choice) {
  service_.batch_strategy = kBatchNames.at(static_cast<size_t>(choice));
  return *this;
}

service_builder& service_builder::WithOnlineReserve(uint32_t slots) {
  service_.online_reserve_slots = slots;
  return *this;
}

service_builder& service_builder::WithBatchMaxAttempts(uint32_t attempts) {
  service_.batch_max_attempts = attempts;
  return *this;
}

}  // namespace shallotport
