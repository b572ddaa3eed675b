#include "jobstore/accepted_route.h"

#include <charconv>

namespace shallotport {

namespace {

constexpr char kVersionMark = '@';

}  // namespace

std::string FormatAcceptedRoute(const accepted_route& accepted) {
  return accepted.version ? accepted.prefix + kVersionMark +
                                std::to_string(*accepted.version)
                          : accepted.prefix;
}

accepted_route ParseAcceptedRoute(std::string_view field) {
  const size_t end = field.rfind('/') + 1;
  const std::string_view mark = field.substr(end);
  if (mark.size() < 2 || mark.front() != kVersionMark) {
    return {std::string(field), std::nullopt};
  }
  uint64_t version = 0;
  const auto [stop, error] =
      std::from_chars(mark.data() + 1, mark.data() + mark.size(), version);
  if (error != std::errc() || stop != mark.data() + mark.size()) {
    return {std::string(field), std::nullopt};
  }
  return {std::string(field.substr(0, end)), version};
}

}  // namespace shallotport
