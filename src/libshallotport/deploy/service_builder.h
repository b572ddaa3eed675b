#ifndef SHALLOTPORT_DEPLOY_SERVICE_BUILDER_H_
#define SHALLOTPORT_DEPLOY_SERVICE_BUILDER_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "control/configuration.h"

namespace shallotport {

// How endpoints of a service are chosen, and how batch shares them.
enum class routing_choice : uint8_t {
  kAdaptive,
  kRoundRobin,
  kLeastReportedLoad,
  kRandomTwoChoices,
};
enum class batch_choice : uint8_t {
  kGuarded,
  kGreedy,
  kFixedShare,
};

// Describes one service for configuration_builder. Nothing is checked before
// configuration_builder::Build().
class service_builder {
 public:
  // A model or adapter that runners announce. Idempotent.
  static service_builder Model(std::string_view id);
  // A plain service whose calls may be repeated.
  static service_builder Plain(std::string_view id);
  // A plain service whose calls run at most once: tried again only after an
  // attempt that surely did not run, never hedged.
  static service_builder AtMostOnce(std::string_view id);

  // Who may call it; without it, every account.
  service_builder& OnlyFor(std::initializer_list<std::string_view> accounts);
  service_builder& WithDeadline(std::chrono::milliseconds deadline);
  service_builder& WithSilenceTimeouts(std::chrono::milliseconds first_byte,
                                       std::chrono::milliseconds token_gap);
  service_builder& WithMaxAttempts(uint32_t attempts);
  service_builder& WithHedgingAfter(std::chrono::milliseconds delay);
  service_builder& WithRouting(routing_choice choice);
  service_builder& WithBatch(batch_choice choice);
  // Slots of each endpoint that batch leaves free, and tries for each item.
  service_builder& WithOnlineReserve(uint32_t slots);
  service_builder& WithBatchMaxAttempts(uint32_t attempts);

  const service_configuration& service() const { return service_; }

 private:
  service_builder(std::string_view id, service_kind kind, bool is_idempotent);

  service_configuration service_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_DEPLOY_SERVICE_BUILDER_H_
