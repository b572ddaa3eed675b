#include "base/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace shallotport {

uint64_t HashOf(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (unsigned int i = 0; i < size; ++i) {
    text.push_back(kDigits[digest[i] >> 4]);
    text.push_back(kDigits[digest[i] & 0xF]);
  }
  return text;
}

}  // namespace shallotport
