#include "scenarios/step_arguments.h"

#include <array>
#include <charconv>

namespace shallotport {

std::optional<duration> ParseTime(std::string_view text) {
  struct unit {
    std::string_view name;
    int64_t microseconds;
  };
  constexpr std::array<unit, 4> kUnits = {{{"ms", 1'000},
                                           {"s", 1'000'000},
                                           {"min", 60'000'000},
                                           {"h", 3'600'000'000}}};
  int64_t count = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), count);
  const std::string_view rest(
      parsed.ptr, static_cast<size_t>(text.data() + text.size() - parsed.ptr));
  for (const unit& each : kUnits) {
    if (parsed.ec == std::errc() && rest == each.name) {
      return duration(count * each.microseconds);
    }
  }
  return std::nullopt;
}

step_arguments::step_arguments(const YAML::Node& node, int line)
    : node_(node), line_(line) {}

bool step_arguments::Has(std::string_view key) const {
  return node_.IsMap() && node_[std::string(key)].IsDefined();
}

YAML::Node step_arguments::Find(std::string_view key) {
  used_.emplace(key);
  return Has(key) ? node_[std::string(key)]
                  : YAML::Node(YAML::NodeType::Undefined);
}

template <typename T>
T step_arguments::Read(std::string_view key, const char* expected, T fallback) {
  const YAML::Node found = Find(key);
  try {
    if (found.IsDefined()) {
      return found.as<T>();
    }
  } catch (const YAML::Exception&) {
  }
  Fail(std::string(key) + ": expected " + expected);
  return fallback;
}

std::string step_arguments::Text(std::string_view key) {
  return Read<std::string>(key, "a text", {});
}

std::string step_arguments::Text(std::string_view key,
                                 std::string_view fallback) {
  return Has(key) ? Text(key) : std::string(fallback);
}

int64_t step_arguments::Number(std::string_view key) {
  return Read<int64_t>(key, "a number", 0);
}

int64_t step_arguments::Number(std::string_view key, int64_t fallback) {
  return Has(key) ? Number(key) : fallback;
}

double step_arguments::Share(std::string_view key, double fallback) {
  return Has(key) ? Read<double>(key, "a number from 0 to 1", 0) : fallback;
}

bool step_arguments::Flag(std::string_view key, bool fallback) {
  return Has(key) ? Read<bool>(key, "true or false", false) : fallback;
}

duration step_arguments::Time(std::string_view key) {
  const std::optional<duration> time = ParseTime(Text(key));
  if (!time) {
    Fail(std::string(key) + ": expected a time such as 250ms, 3s or 2min");
  }
  return time.value_or(duration(0));
}

duration step_arguments::Time(std::string_view key, duration fallback) {
  return Has(key) ? Time(key) : fallback;
}

std::vector<std::string> step_arguments::Texts(std::string_view key) {
  return Read<std::vector<std::string>>(key, "a list of texts", {});
}

void step_arguments::Use(std::string_view key) {
  used_.emplace(key);
}

void step_arguments::Fail(std::string_view text) {
  if (failure_.empty()) {
    failure_ = text;
  }
}

void step_arguments::Check(std::string_view what,
                           int64_t actual,
                           int64_t expected) {
  if (actual != expected) {
    Fail(std::string(what) + " is " + std::to_string(actual) + ", expected " +
         std::to_string(expected));
  }
}

void step_arguments::CheckText(std::string_view what,
                               std::string_view actual,
                               std::string_view expected) {
  if (actual != expected) {
    Fail(std::string(what) + " is \"" + std::string(actual) +
         "\", expected \"" + std::string(expected) + "\"");
  }
}

void step_arguments::CheckAllUsed() {
  if (!node_.IsMap()) {
    return;
  }
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!used_.contains(key)) {
      Fail("unknown argument \"" + key + "\"");
    }
  }
}

}  // namespace shallotport
