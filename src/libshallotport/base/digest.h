#ifndef SHALLOTPORT_BASE_DIGEST_H_
#define SHALLOTPORT_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotport {

// 64-bit XXH3 hash: stable across hosts and releases, not cryptographic.
uint64_t HashOf(std::string_view bytes, uint64_t seed = 0);

// Lower-case hexadecimal SHA-256, for tokens and request digests.
std::string Sha256Hex(std::string_view bytes);

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_DIGEST_H_
