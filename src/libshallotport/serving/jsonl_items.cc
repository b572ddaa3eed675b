#include "serving/jsonl_items.h"

#include <nlohmann/json.hpp>
#include <string>

namespace shallotport {

namespace {

bool IsJsonObject(std::string_view line) {
  return line.front() == '{' && nlohmann::json::accept(line);
}

error LineError(size_t number, const std::string& problem) {
  return MakeError(error_kind::kInvalidRequest,
                   "line " + std::to_string(number) + ": " + problem);
}

}  // namespace

result<std::vector<std::string_view>> CutItems(std::string_view body) {
  std::vector<std::string_view> items;
  size_t number = 0;
  while (!body.empty()) {
    ++number;
    const size_t end = body.find('\n');
    std::string_view line = body.substr(0, end);
    body.remove_prefix(end == std::string_view::npos ? body.size() : end + 1);
    const size_t first = line.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
      continue;
    }
    line = line.substr(first, line.find_last_not_of(" \t\r") - first + 1);
    if (line.size() > kMaxItemBytes) {
      return LineError(
          number, "longer than " + std::to_string(kMaxItemBytes) + " bytes");
    }
    if (!IsJsonObject(line)) {
      return LineError(number, "no JSON object in UTF-8");
    }
    items.push_back(line);
  }
  return items;
}

}  // namespace shallotport
