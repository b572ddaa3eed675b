#include "serving/job_json.h"

#include <array>
#include <nlohmann/json.hpp>

namespace shallotport {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> kPhaseNames = {"open", "running",
                                                    "finished", "cancelled"};
constexpr std::array<const char*, 3> kOutlookNames = {"unknown", "on_time",
                                                      "late"};
constexpr std::array<const char*, 3> kOutcomeNames = {"done", "failed",
                                                      "cancelled"};

json TimeOrNull(wall_milliseconds time) {
  return time == 0 ? json(nullptr) : json(time);
}

// Most endpoints answer in JSON; anything else is shown as a text.
json BodyAsJson(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  return parsed.is_discarded() ? json(body) : parsed;
}

}  // namespace

json JobAsJson(const job_status& job) {
  const job_counts& counts = job.counts;
  return {
      {"id", job.id.text()},
      {"service", job.service.text()},
      {"phase", kPhaseNames[static_cast<size_t>(job.phase)]},
      {"counts",
       {{"total", counts.total},
        {"done", counts.done},
        {"failed", counts.failed},
        {"cancelled", counts.cancelled},
        {"leased", counts.leased},
        {"quarantined", counts.suspects},
        {"duplicates", counts.duplicates}}},
      {"created_unix_ms", job.created},
      {"deadline_unix_ms", job.deadline},
      {"ended_unix_ms", TimeOrNull(job.ended)},
      {"expected_end_unix_ms", TimeOrNull(job.expected_end)},
      {"deadline_outlook", kOutlookNames[static_cast<size_t>(job.outlook)]}};
}

std::string ResultLine(const result_line& line) {
  json out = {{"index", line.index},
              {"outcome", kOutcomeNames[static_cast<size_t>(line.outcome)]},
              {"attempts", line.attempts}};
  if (line.outcome == final_outcome::kDone) {
    out["response"] = BodyAsJson(line.body);
  } else if (line.outcome == final_outcome::kFailed) {
    out["error"] = {{"code", Answer(line.kind).code}, {"message", line.body}};
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace shallotport
