#include "entry/poison_log.h"

#include <cstdio>
#include <string>

#include "entry/decision_log.h"
#include "poison/crash_attribution.h"
#include "poison/crash_observer.h"
#include "poison/prompt_parts.h"

namespace shallotport {

namespace {

std::string_view LogName(block_change::reason why) {
  constexpr std::string_view kNames[] = {"crashes", "whole_answer",
                                         "other_part", "expired"};
  return kNames[static_cast<size_t>(why)];
}

}  // namespace

void LogBlockChange(decision_log& log, const block_change& change) {
  const bool is_request = change.key.what == crash_key::kind::kRequest;
  const std::string key = FormatDigest(change.key.value);
  const std::string_view field = is_request ? "request_digest" : "part";
  if (change.why != block_change::reason::kCrashes) {
    log.LogState(is_request ? "request_released" : "prompt_part_released",
                 {{field, key}, {"reason", LogName(change.why)}});
    return;
  }
  char chance[32];
  std::snprintf(chance, sizeof(chance), "%.1e", change.chance);
  log.LogState(is_request ? "request_blocked" : "prompt_part_blocked",
               {{field, key},
                {"service", change.service.text()},
                {"crashes", static_cast<int64_t>(change.crashes)},
                {"chance", std::string_view(chance)}});
}

void LogCrashes(crash_observer& observer, decision_log& log) {
  observer.on_crash = [&log](const crash_record& record) {
    log.LogRequest("attempt_crashed",
                   {{"start", FormatDigest(record.endpoint)},
                    {"request_key", FormatDigest(record.request)},
                    {"service", record.service.text()},
                    {"ran_ms", int64_t{record.ran_ms}},
                    {"output_ms", int64_t{record.output_ms}},
                    {"prompt_parts", FormatPromptParts(record.parts)},
                    {"request_digest", FormatDigest(record.digest)}});
  };
}

}  // namespace shallotport
