#include "base/response_head.h"

#include <algorithm>
#include <optional>

namespace shallotport {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kSwitchingProtocols = 101;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Control bytes other than tabs end lines for some parsers and not for others.
bool IsTextByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextByte);
}

// "HTTP/1.1 200 OK"
std::optional<int> ReadStatus(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kStatusAt = kVersion.size() + 2;
  constexpr size_t kStatusDigits = 3;
  if (line.size() < kStatusAt + kStatusDigits || !line.starts_with(kVersion) ||
      !IsText(line)) {
    return std::nullopt;
  }
  const char minor = line[kVersion.size()];
  const std::string_view status = line.substr(kStatusAt, kStatusDigits);
  const std::string_view rest = line.substr(kStatusAt + kStatusDigits);
  if ((minor != '0' && minor != '1') || line[kStatusAt - 1] != ' ' ||
      !std::all_of(status.begin(), status.end(), IsDigit) ||
      !(rest.empty() || rest.starts_with(' '))) {
    return std::nullopt;
  }
  int read = 0;
  for (const char digit : status) {
    read = read * 10 + (digit - '0');
  }
  return read;
}

}  // namespace

head_fault CheckResponseHead(std::string_view head) {
  const auto status = ReadStatus(head.substr(0, head.find(kLineEnd)));
  if (!status) {
    return head_fault::kStatusLine;
  }
  const bool is_known =
      *status >= 100 && *status <= 599 && *status != kSwitchingProtocols;
  return is_known ? head_fault::kNone : head_fault::kStatus;
}

}  // namespace shallotport
