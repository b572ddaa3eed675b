#include "entry/resumption_policy.h"

#include <algorithm>

namespace shallotport {

const service_id* SoleService(std::span<const weighted_service> services) {
  const service_id* sole = nullptr;
  for (const weighted_service& each : services) {
    if (each.weight == 0) {
      continue;
    }
    if (sole != nullptr) {
      return nullptr;
    }
    sole = &each.service;
  }
  return sole;
}

resumption_decision DecideResumption(const resumption_facts& facts) {
  resumption_decision decision;
  if (facts.origin) {
    decision.origin = *facts.origin;
  } else {
    const service_id* service = SoleService(facts.services);
    if (service == nullptr || !facts.sole_version || !facts.is_view_complete) {
      return decision;
    }
    decision.origin = {*service, *facts.sole_version};
  }
  const bool is_allowed = std::any_of(
      facts.services.begin(), facts.services.end(),
      [&](const weighted_service& each) {
        return each.weight > 0 && each.service == decision.origin.service;
      });
  if (!is_allowed) {
    decision.result = resumption_result::kServiceNotAllowed;
  } else if (!facts.is_serving(decision.origin)) {
    decision.result = resumption_result::kVersionGone;
  } else {
    decision.result = resumption_result::kResume;
  }
  return decision;
}

}  // namespace shallotport
