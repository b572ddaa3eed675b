#ifndef SHALLOTPORT_SHALLOTBENCH_BENCH_REPORT_H_
#define SHALLOTPORT_SHALLOTBENCH_BENCH_REPORT_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "shallotbench/batch_load.h"
#include "shallotbench/online_load.h"
#include "shallotbench/sample_book.h"

namespace shallotport {

// What one arm of an experiment measured.
struct arm_result {
  std::string arm;
  double seconds = 0;
  online_counts online;
  std::vector<time_sample> first_tokens;
  std::vector<time_sample> token_gaps;
  std::vector<progress_sample> batch;
  uint64_t executions = 0;  // Started at the endpoints, during the arm.
  uint64_t restarted = 0;   // Of these, beyond the first one of each prompt.
  // Whole executions beyond the first one of each prompt.
  uint64_t duplicate_executions = 0;
};

// Items that the batch job finished per second between its first and last
// progress sample.
double BatchItemsPerSecond(const arm_result& result);

std::string ArmToJson(const arm_result& result);
result<arm_result> ArmFromJson(const std::string& text);

// A table with one row for each arm, and the ratios to the arms online_alone
// and batch_alone where these are among them.
std::string ReportTable(const std::vector<arm_result>& arms);

// An SVG plot: p95 of the time to the first token and batch items per second,
// each over time, one line for each arm.
std::string ReportSvg(const std::vector<arm_result>& arms);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTBENCH_BENCH_REPORT_H_
