#include "claims/claim_messages.h"

#include <charconv>

#include "base/digest.h"

namespace shallotport {
namespace {

constexpr size_t kHexDigitsPerWord = 16;

uint64_t ParseHexWord(std::string_view hex) {
  uint64_t word = 0;
  std::from_chars(hex.data(), hex.data() + hex.size(), word, 16);
  return word;
}

// Digest of the parts, each with its length in front, so that different lists
// of parts never give the same input to the hash.
claim_digest DigestOf(std::initializer_list<std::string_view> parts) {
  std::string joined;
  for (const std::string_view part : parts) {
    joined += std::to_string(part.size());
    joined += ':';
    joined += part;
  }
  const std::string hex = Sha256Hex(joined);
  const std::string_view digits = hex;
  return {ParseHexWord(digits.substr(0, kHexDigitsPerWord)),
          ParseHexWord(digits.substr(kHexDigitsPerWord, kHexDigitsPerWord))};
}

}  // namespace

claim_key MakeClaimKey(const account_id& account,
                       std::string_view idempotency_key) {
  return DigestOf({account.text(), idempotency_key});
}

claim_digest MakeRequestDigest(std::string_view method,
                               std::string_view path,
                               std::string_view body) {
  return DigestOf({method, path, body});
}

size_t SizeOf(const claim_response& response) {
  size_t bytes = response.body.size();
  for (const claim_header& header : response.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace shallotport
