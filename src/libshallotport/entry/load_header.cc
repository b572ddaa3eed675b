#include "entry/load_header.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace shallotport {

namespace {

// The figure that means "as usual".
constexpr double kUsual = 100;
// Bounds the effect of a false figure.
constexpr double kMinPace = 0.25;
constexpr double kMaxPace = 4;

// Removes the text up to the next comma, and returns it.
std::string_view TakeField(std::string_view& rest) {
  const size_t comma = rest.find(',');
  const std::string_view field = rest.substr(0, comma);
  rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
  return field;
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  while (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  T number{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<load_figures> ParseLoadHeader(std::string_view text) {
  const auto running = ParseNumber<uint32_t>(TakeField(text));
  const auto waiting = ParseNumber<uint32_t>(TakeField(text));
  const std::string_view slots = TakeField(text);
  if (!running || !waiting ||
      (!slots.empty() && !ParseNumber<uint32_t>(slots))) {
    return std::nullopt;
  }
  load_figures figures{*running, *waiting, std::nullopt};
  const auto pace = ParseNumber<double>(TakeField(text));
  if (pace && std::isfinite(*pace) && *pace > 0) {
    figures.pace = std::clamp(*pace / kUsual, kMinPace, kMaxPace);
  }
  return figures;
}

}  // namespace shallotport
