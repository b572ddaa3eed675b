#ifndef SHALLOTPORT_SERVING_JOB_JSON_H_
#define SHALLOTPORT_SERVING_JOB_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "batch/job_messages.h"

namespace shallotport {

// A job as callers and operators see it.
nlohmann::json JobAsJson(const job_status& job);

// One line of a job's results, with its end of line.
std::string ResultLine(const result_line& line);

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_JOB_JSON_H_
