#include "entry/decision_log.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>

namespace shallotport {

namespace {

// Limits lines about requests: enough to see each failure of an hour without
// incidents, and less than a tenth of the time of a core when failures come in
// bursts.
constexpr double kRequestLinesPerSecond = 20;
constexpr double kMaxBurstLines = 100;

// Quotes values that would not read back as one word.
void AppendValue(std::string& out, std::string_view value) {
  const bool is_word =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c != '"' && c != '=' && c < 127;
      });
  if (is_word) {
    out.append(value);
    return;
  }
  out.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
    }
    out.push_back(c < ' ' ? '?' : c);
  }
  out.push_back('"');
}

}  // namespace

decision_log::decision_log(const clock_source& clock, std::string host)
    : clock_(clock),
      host_(std::move(host)),
      last_refill_(clock.Now()),
      budget_(kMaxBurstLines) {
  // Only pipes are made non-blocking: a terminal shares its flags with other
  // processes, and never blocks for long.
  struct stat output {};
  const bool is_pipe = fstat(STDOUT_FILENO, &output) == 0 &&
                       (S_ISFIFO(output.st_mode) || S_ISSOCK(output.st_mode));
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (is_pipe && flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void decision_log::LogRequest(std::string_view event,
                              std::initializer_list<log_field> fields) {
  const steady_time now = clock_.Now();
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  budget_ = std::min(kMaxBurstLines,
                     budget_ + elapsed.count() * kRequestLinesPerSecond);
  if (budget_ < 1) {
    ++unreported_drops_;
    ++dropped_lines_;
    return;
  }
  budget_ -= 1;
  Write(event, fields);
}

void decision_log::LogState(std::string_view event,
                            std::initializer_list<log_field> fields) {
  Write(event, fields);
}

void decision_log::Write(std::string_view event,
                         std::initializer_list<log_field> fields) {
  std::string line =
      "time=" + std::to_string(clock_.WallNow()) + " host=" + host_ + " event=";
  line.append(event);
  for (const log_field& each : fields) {
    line.append(" ").append(each.name).push_back('=');
    AppendValue(line, each.value);
  }
  if (unreported_drops_ > 0) {
    line += " lines_left_out=" + std::to_string(unreported_drops_);
    unreported_drops_ = 0;
  }
  line.push_back('\n');
  const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    ++unreported_drops_;
    ++dropped_lines_;
  }
}

}  // namespace shallotport
