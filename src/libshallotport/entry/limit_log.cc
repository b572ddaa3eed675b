#include "entry/limit_log.h"

#include <cstdio>
#include <optional>

#include "entry/decision_log.h"
#include "ratelimits/endpoint_limits.h"
#include "ratelimits/limit_notice.h"

namespace shallotport {

limit_read RecordLimit(steady_time now,
                       const endpoint_start& start,
                       const header_list& headers,
                       std::string_view name,
                       endpoint_limits& limits) {
  const limit_notice notice = ReadLimitNotice(headers, name);
  if (notice.kind == limit_notice_kind::kMalformed) {
    return limit_read::kMalformed;
  }
  const bool is_named = notice.kind == limit_notice_kind::kNamed;
  return limits.RecordAnswer(
             now, start,
             is_named ? std::optional(notice.per_second) : std::nullopt)
             ? limit_read::kChanged
             : limit_read::kUnchanged;
}

void LogLimit(decision_log& log,
              const endpoint_start& start,
              const endpoint_limits& limits) {
  if (!limits.IsLimited(start)) {
    log.LogState("endpoint_limit_ended", {{"endpoint", start.endpoint.text()}});
    return;
  }
  char limit[32];
  std::snprintf(limit, sizeof(limit), "%.3f", limits.PerSecond(start));
  log.LogState("endpoint_limited", {{"endpoint", start.endpoint.text()},
                                    {"per_second", std::string_view(limit)}});
}

}  // namespace shallotport
