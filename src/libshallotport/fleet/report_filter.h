#ifndef SHALLOTPORT_FLEET_REPORT_FILTER_H_
#define SHALLOTPORT_FLEET_REPORT_FILTER_H_

#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/endpoint_report.h"

namespace shallotport {

// Decides which endpoint reports a control host passes on. Endpoints report
// about once a second, mostly without news, and each report that is passed on
// goes to every host of the fleet. Reports with news are always passed on,
// others only often enough that an endpoint does not expire elsewhere. Owned by
// control_duty. Pure.
class report_filter {
 public:
  // Call for each report that was applied; true if it is to be passed on.
  bool ShouldPassOn(steady_time now, const endpoint_report& report);

 private:
  struct passed_report {
    endpoint_report report;
    steady_time passed_at{};
  };

  std::map<endpoint_id, passed_report> passed_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_REPORT_FILTER_H_
