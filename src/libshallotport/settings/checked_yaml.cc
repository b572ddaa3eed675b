#include "settings/checked_yaml.h"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <utility>

namespace shallotport {

namespace {

// YAML itself allows a key twice; a settings file does not.
void ReportDuplicateKeys(const YAML::Node& mapping,
                         const std::string& file,
                         const std::string& path,
                         checked_yaml::problem_list& problems) {
  std::set<std::string> seen;
  for (const auto& entry : mapping) {
    if (!entry.first.IsScalar()) {
      problems.push_back({file, entry.first.Mark().line + 1, path,
                          "the key is no plain text", "a key name"});
      continue;
    }
    if (!seen.insert(entry.first.Scalar()).second) {
      problems.push_back({file, entry.first.Mark().line + 1,
                          path + entry.first.Scalar(), "the key stands twice",
                          "each key once"});
    }
  }
}

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string RangeText(std::string_view what,
                      const std::string& lowest,
                      const std::string& highest) {
  return std::string(what) + " from " + lowest + " to " + highest;
}

std::string NumberText(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

}  // namespace

std::string Describe(const yaml_problem& problem) {
  return problem.file + ":" + std::to_string(problem.line) + ": " +
         problem.key + ": " + problem.problem + "; expected " +
         problem.expected;
}

std::string Describe(std::span<const yaml_problem> problems) {
  std::string text;
  for (const yaml_problem& problem : problems) {
    text += Describe(problem) + "\n";
  }
  return text;
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string ip(text.substr(0, colon));
  const auto port = ParseNumber<uint32_t>(std::string(text.substr(colon + 1)));
  in_addr address{};
  return inet_pton(AF_INET, ip.c_str(), &address) == 1 && port && *port >= 1 &&
         *port <= 65535;
}

checked_yaml::checked_yaml(std::shared_ptr<YAML::Node> node,
                           std::string file,
                           std::string path,
                           problem_list& problems)
    : node_(std::move(node)),
      file_(std::move(file)),
      path_(std::move(path)),
      problems_(&problems) {
  if (node_->IsMap()) {
    ReportDuplicateKeys(*node_, file_, path_, problems);
  }
}

checked_yaml checked_yaml::Parse(std::string_view text,
                                 std::string_view file,
                                 problem_list& problems) {
  auto node = std::make_shared<YAML::Node>(YAML::NodeType::Map);
  try {
    YAML::Node parsed = YAML::Load(std::string(text));
    if (parsed.IsMap()) {
      *node = parsed;
    } else {
      problems.push_back({std::string(file), 1, "(document)",
                          "the top is no mapping", "keys with values"});
    }
  } catch (const YAML::Exception& failure) {
    problems.push_back({std::string(file), failure.mark.line + 1, "(document)",
                        failure.msg, "well-formed YAML"});
  }
  return {std::move(node), std::string(file), "", problems};
}

bool checked_yaml::Has(std::string_view key) const {
  return (*std::as_const(node_))[std::string(key)].IsDefined();
}

int checked_yaml::line() const {
  return node_->Mark().line + 1;
}

std::string checked_yaml::PathOf(std::string_view key) const {
  return path_ + std::string(key);
}

std::unique_ptr<YAML::Node> checked_yaml::Find(std::string_view key) {
  read_keys_.emplace(key);
  const YAML::Node& mapping = *node_;
  YAML::Node found = mapping[std::string(key)];
  if (!found.IsDefined() || found.IsNull()) {
    return nullptr;
  }
  return std::make_unique<YAML::Node>(found);
}

void checked_yaml::ReportMissing(std::string_view key,
                                 std::string_view expected) {
  problems_->push_back({file_, line(), PathOf(key), "the key is missing",
                        std::string(expected)});
}

void checked_yaml::AddProblem(std::string_view key,
                              std::string problem,
                              std::string expected) {
  const std::unique_ptr<YAML::Node> found = Find(key);
  const int where = found ? found->Mark().line + 1 : line();
  problems_->push_back(
      {file_, where, PathOf(key), std::move(problem), std::move(expected)});
}

std::string checked_yaml::Text(std::string_view key,
                               const std::optional<std::string>& fallback) {
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    if (!fallback) {
      ReportMissing(key, "a text");
    }
    return fallback.value_or("");
  }
  if (!found->IsScalar() || found->Scalar().empty()) {
    AddProblem(key, "not a text", "a text that is not empty");
    return fallback.value_or("");
  }
  return found->Scalar();
}

uint64_t checked_yaml::Integer(std::string_view key,
                               std::optional<uint64_t> fallback,
                               uint64_t lowest,
                               uint64_t highest) {
  const std::string expected = RangeText(
      "a whole number", std::to_string(lowest), std::to_string(highest));
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    if (!fallback) {
      ReportMissing(key, expected);
    }
    return fallback.value_or(lowest);
  }
  const auto number =
      found->IsScalar() ? ParseNumber<uint64_t>(found->Scalar()) : std::nullopt;
  if (!number) {
    AddProblem(key, "not a whole number", expected);
    return fallback.value_or(lowest);
  }
  if (*number < lowest || *number > highest) {
    AddProblem(key, "out of range: " + found->Scalar(), expected);
    return fallback.value_or(lowest);
  }
  return *number;
}

double checked_yaml::Number(std::string_view key,
                            std::optional<double> fallback,
                            double lowest,
                            double highest) {
  const std::string expected =
      RangeText("a number", NumberText(lowest), NumberText(highest));
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    if (!fallback) {
      ReportMissing(key, expected);
    }
    return fallback.value_or(lowest);
  }
  const auto number =
      found->IsScalar() ? ParseNumber<double>(found->Scalar()) : std::nullopt;
  if (!number || !(*number >= lowest && *number <= highest)) {
    AddProblem(key, "no number in the range", expected);
    return fallback.value_or(lowest);
  }
  return *number;
}

bool checked_yaml::Flag(std::string_view key, std::optional<bool> fallback) {
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    if (!fallback) {
      ReportMissing(key, "true or false");
    }
    return fallback.value_or(false);
  }
  const std::string text = found->IsScalar() ? found->Scalar() : "";
  if (text != "true" && text != "false") {
    AddProblem(key, "neither true nor false", "true or false");
    return fallback.value_or(false);
  }
  return text == "true";
}

std::chrono::milliseconds checked_yaml::Milliseconds(
    std::string_view key,
    std::optional<std::chrono::milliseconds> fallback,
    std::chrono::milliseconds lowest,
    std::chrono::milliseconds highest) {
  std::optional<uint64_t> fallback_count;
  if (fallback) {
    fallback_count = static_cast<uint64_t>(fallback->count());
  }
  return std::chrono::milliseconds(
      Integer(key, fallback_count, static_cast<uint64_t>(lowest.count()),
              static_cast<uint64_t>(highest.count())));
}

size_t checked_yaml::Choice(std::string_view key,
                            std::optional<size_t> fallback,
                            std::span<const std::string_view> names) {
  std::string expected = "one of";
  for (const std::string_view name : names) {
    expected += " " + std::string(name);
  }
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    if (!fallback) {
      ReportMissing(key, expected);
    }
    return fallback.value_or(0);
  }
  for (size_t i = 0; i < names.size(); ++i) {
    if (found->IsScalar() && found->Scalar() == names[i]) {
      return i;
    }
  }
  AddProblem(key, "unknown name", expected);
  return fallback.value_or(0);
}

std::string checked_yaml::Address(std::string_view key,
                                  const std::optional<std::string>& fallback) {
  std::string text = Text(key, fallback);
  if (!text.empty() && !IsAddress(text)) {
    AddProblem(key, "not an address: " + text, "IP:port, port 1 to 65535");
  }
  return text;
}

checked_yaml checked_yaml::Mapping(std::string_view key, bool is_required) {
  const std::unique_ptr<YAML::Node> found = Find(key);
  auto node = std::make_shared<YAML::Node>(YAML::NodeType::Map);
  if (found && found->IsMap()) {
    *node = *found;
  } else if (found) {
    AddProblem(key, "no mapping", "keys with values");
  } else if (is_required) {
    ReportMissing(key, "keys with values");
  }
  return {std::move(node), file_, PathOf(key) + ".", *problems_};
}

std::vector<checked_yaml> checked_yaml::Mappings(std::string_view key,
                                                 bool is_required) {
  std::vector<checked_yaml> mappings;
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    if (is_required) {
      ReportMissing(key, "a list");
    }
    return mappings;
  }
  if (!found->IsSequence()) {
    AddProblem(key, "no list", "a list of mappings");
    return mappings;
  }
  for (size_t i = 0; i < found->size(); ++i) {
    const std::string path = PathOf(key) + "[" + std::to_string(i) + "]";
    YAML::Node item = (*found)[i];
    if (!item.IsMap()) {
      problems_->push_back({file_, item.Mark().line + 1, path, "no mapping",
                            "keys with values"});
      continue;
    }
    mappings.push_back(checked_yaml(std::make_shared<YAML::Node>(item), file_,
                                    path + ".", *problems_));
  }
  return mappings;
}

std::vector<std::string> checked_yaml::Texts(std::string_view key) {
  std::vector<std::string> texts;
  const std::unique_ptr<YAML::Node> found = Find(key);
  if (!found) {
    return texts;
  }
  if (!found->IsSequence()) {
    AddProblem(key, "no list", "a list of texts");
    return texts;
  }
  for (const YAML::Node& item : *found) {
    if (!item.IsScalar() || item.Scalar().empty()) {
      problems_->push_back({file_, item.Mark().line + 1, PathOf(key),
                            "not a text", "a list of texts"});
      continue;
    }
    texts.push_back(item.Scalar());
  }
  return texts;
}

void checked_yaml::Finish() {
  for (const auto& entry : *node_) {
    if (entry.first.IsScalar() && !read_keys_.contains(entry.first.Scalar())) {
      problems_->push_back({file_, entry.first.Mark().line + 1,
                            PathOf(entry.first.Scalar()), "unknown key",
                            "a key of docs/CONFIGURATION.md"});
    }
  }
}

}  // namespace shallotport
