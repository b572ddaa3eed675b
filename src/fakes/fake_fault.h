#ifndef SHALLOTPORT_FAKES_FAKE_FAULT_H_
#define SHALLOTPORT_FAKES_FAKE_FAULT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/clock.h"

namespace shallotport {

// How a fake endpoint misbehaves towards a share of its calls.
enum class fault_mode : uint8_t {
  kNone,
  kSlow,       // Starts `extra` late.
  kRefuse,     // 503 with X-Not-Run: 1, nothing executed.
  kTruncate,   // The answer ends half way.
  kSilent,     // Half the answer, then nothing on an open connection.
  kCrossed,    // Another call's id and text.
  kDieBefore,  // The process ends before the execution.
  kDieAfter,   // The process ends after the execution, before the answer.
};

struct fault_setting {
  fault_mode mode = fault_mode::kNone;
  double rate = 1.0;  // Share of the calls.
  duration extra{0};
};

inline constexpr std::array<std::string_view, 8> kFaultModeNames = {
    "none",   "slow",    "refuse",     "truncate",
    "silent", "crossed", "die_before", "die_after"};

inline std::optional<fault_mode> FaultModeOfName(std::string_view name) {
  for (size_t i = 0; i < kFaultModeNames.size(); ++i) {
    if (kFaultModeNames[i] == name) {
      return static_cast<fault_mode>(i);
    }
  }
  return std::nullopt;
}

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_FAULT_H_
