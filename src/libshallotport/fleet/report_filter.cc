#include "fleet/report_filter.h"

#include <tuple>

namespace shallotport {

namespace {

// Well below the time after which a silent endpoint is removed. Also repairs
// the view of a host that stopped using the endpoint by mistake.
constexpr std::chrono::seconds kUnchangedInterval{5};

auto News(const endpoint_report& report) {
  return std::tie(report.service, report.ip, report.port, report.domain,
                  report.slots, report.stage, report.cold_remaining_ms,
                  report.start_time_ms, report.leave_time_ms,
                  report.software_version);
}

}  // namespace

bool report_filter::ShouldPassOn(steady_time now,
                                 const endpoint_report& report) {
  if (report.stage == endpoint_stage::kLeft) {
    passed_.erase(report.endpoint);
    return true;
  }
  passed_report& passed = passed_[report.endpoint];
  const bool has_news = News(passed.report) != News(report);
  if (!has_news && now < passed.passed_at + kUnchangedInterval) {
    return false;
  }
  passed = {report, now};
  return true;
}

}  // namespace shallotport
