#ifndef SHALLOTPORT_FLEET_ENDPOINT_REPORT_H_
#define SHALLOTPORT_FLEET_ENDPOINT_REPORT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

enum class endpoint_stage : uint8_t { kReady = 1, kDraining = 2, kLeft = 3 };

// Within this time after a start has ended, its earlier reports have been
// received. An endpoint that reports later goes on or has started again,
// whatever the clocks of the hosts say.
inline constexpr std::chrono::seconds kStaleReportWindow{15};

// The last report of an endpoint about itself, as a control host received it.
struct endpoint_report {
  endpoint_id endpoint;
  service_id service;
  std::string ip;
  uint16_t port = 0;
  domain_id domain;
  uint32_t slots = 1;
  endpoint_stage stage = endpoint_stage::kReady;
  uint32_t cold_remaining_ms = 0;  // Remaining slow time after its start.
  // Order of reports: a later start of the same id replaces an earlier one, and
  // within one start the report with the higher sequence applies.
  uint64_t start_time_ms = 0;
  uint64_t sequence = 0;
  uint32_t age_ms = 0;  // Since a control host received it.
  // Only of a leave that does not name the start that it ends: when it was
  // received, in Unix milliseconds. It ends every earlier start. Otherwise 0.
  uint64_t leave_time_ms = 0;
  // Of the endpoint's software, without an order; not of a model's weights.
  std::string software_version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, service, ip, port, domain, slots, stage,
            cold_remaining_ms, start_time_ms, sequence, age_ms, leave_time_ms,
            software_version);
  }
};

// When the reported start began, as far as the clocks agree.
inline steady_time StartedAt(const clock_source& clock,
                             const endpoint_report& report) {
  const std::chrono::milliseconds age(
      clock.WallNow() - static_cast<wall_milliseconds>(report.start_time_ms));
  return clock.Now() - age;
}

// Whether an endpoint can say this of itself. A report that it cannot say names
// no endpoint: it comes from another writer, from an earlier build's files, or
// is damaged. kInvalidRequest: the detail begins with the field's name.
status CheckReport(const endpoint_report& report);

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_ENDPOINT_REPORT_H_
