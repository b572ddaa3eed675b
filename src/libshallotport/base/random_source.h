#ifndef SHALLOTPORT_BASE_RANDOM_SOURCE_H_
#define SHALLOTPORT_BASE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace shallotport {

// The seeded generator that is passed into every core, so that a run can be
// repeated from its seed.
using random_source = std::mt19937_64;

// A number in [0, bound); `bound` is at least 1.
inline uint64_t UniformBelow(random_source& random, uint64_t bound) {
  return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
}

// A number in [0, 1).
inline double UniformUnit(random_source& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_RANDOM_SOURCE_H_
