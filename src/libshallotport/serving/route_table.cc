#include "serving/route_table.h"

#include <optional>
#include <utility>

#include "base/result.h"

namespace shallotport {

namespace {

constexpr std::string_view kAnySegment = "*";
constexpr std::string_view kAnyRest = "**";

// The part of `path` from `segment` to its end; segments are views into it.
std::string_view RestFrom(std::string_view path, std::string_view segment) {
  return path.substr(static_cast<size_t>(segment.data() - path.data()));
}

std::optional<std::vector<std::string_view>> Match(
    std::span<const std::string> pattern,
    std::span<const std::string_view> segments,
    std::string_view path) {
  std::vector<std::string_view> captures;
  for (size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == kAnyRest) {
      captures.push_back(i < segments.size() ? RestFrom(path, segments[i])
                                             : std::string_view());
      return captures;
    }
    if (i >= segments.size()) {
      return std::nullopt;
    }
    if (pattern[i] == kAnySegment) {
      captures.push_back(segments[i]);
    } else if (pattern[i] != segments[i]) {
      return std::nullopt;
    }
  }
  if (segments.size() != pattern.size()) {
    return std::nullopt;
  }
  return captures;
}

}  // namespace

void route_table::Add(std::string method,
                      const std::string& pattern,
                      handler handle) {
  route added;
  added.method = std::move(method);
  for (const std::string_view segment : PathSegments(pattern)) {
    added.segments.emplace_back(segment);
  }
  added.handle = std::move(handle);
  routes_.push_back(std::move(added));
}

http_reply route_table::Handle(const http_request& request) const {
  const std::vector<std::string_view> segments = PathSegments(request.path);
  for (const route& candidate : routes_) {
    if (!candidate.method.empty() && candidate.method != request.method) {
      continue;
    }
    const auto captures = Match(candidate.segments, segments, request.path);
    if (captures) {
      return candidate.handle(request, *captures);
    }
  }
  return MakeErrorReply(
      MakeError(error_kind::kNotFound,
                "no " + request.method + " " + request.path + " here"),
      "");
}

}  // namespace shallotport
