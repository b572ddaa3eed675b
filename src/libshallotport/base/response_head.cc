#include "base/response_head.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace shallotport {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kSwitchingProtocols = 101;
constexpr size_t kMaxLengthDigits = 18;  // Of a 64-bit number.

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsTokenByte(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return is_letter || IsDigit(c) || kMarks.find(c) != std::string_view::npos;
}

// Control bytes other than tabs end lines for some parsers and not for others.
bool IsTextByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextByte);
}

bool AreEqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

struct status_line {
  bool is_http_1_0 = false;
  int status = 0;
};

// "HTTP/1.1 200 OK"
std::optional<status_line> ReadStatusLine(std::string_view line) {
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
  status_line read;
  read.is_http_1_0 = minor == '0';
  for (const char digit : status) {
    read.status = read.status * 10 + (digit - '0');
  }
  return read;
}

// How the fields of one head frame its body.
class body_framing_check {
 public:
  explicit body_framing_check(bool is_http_1_0) : is_http_1_0_(is_http_1_0) {}

  head_fault Add(std::string_view name, std::string_view value) {
    if (AreEqualIgnoringCase(name, "Content-Length")) {
      const bool is_number = !value.empty() &&
                             value.size() <= kMaxLengthDigits &&
                             std::all_of(value.begin(), value.end(), IsDigit);
      const bool is_other = length_ && *length_ != value;
      length_ = value;
      return is_number && !is_other ? head_fault::kNone
                                    : head_fault::kContentLength;
    }
    if (AreEqualIgnoringCase(name, "Transfer-Encoding")) {
      const bool is_known =
          AreEqualIgnoringCase(value, "chunked") && !is_http_1_0_;
      const bool is_first = !std::exchange(has_coding_, true);
      return is_known && is_first ? head_fault::kNone
                                  : head_fault::kTransferCoding;
    }
    return head_fault::kNone;
  }
  head_fault AtEnd() const {
    return has_coding_ && length_ ? head_fault::kTransferCoding
                                  : head_fault::kNone;
  }

 private:
  const bool is_http_1_0_;
  std::optional<std::string_view> length_;
  bool has_coding_ = false;
};

// Removes the first line, and gives it without its line end. Without one, the
// rest is the line.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = std::min(text.find(kLineEnd), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + kLineEnd.size(), text.size()));
  return line;
}

bool IsFieldLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  return std::all_of(name.begin(), name.end(), IsTokenByte) &&
         IsText(line.substr(colon + 1));
}

}  // namespace

head_fault CheckResponseHead(std::string_view head) {
  const auto first = ReadStatusLine(TakeLine(head));
  if (!first) {
    return head_fault::kStatusLine;
  }
  if (first->status < 100 || first->status > 599 ||
      first->status == kSwitchingProtocols) {
    return head_fault::kStatus;
  }
  body_framing_check framing(first->is_http_1_0);
  while (head != kLineEnd) {
    const std::string_view line = TakeLine(head);
    if (!IsFieldLine(line)) {
      return head_fault::kField;
    }
    const size_t colon = line.find(':');
    const head_fault fault =
        framing.Add(line.substr(0, colon), Trimmed(line.substr(colon + 1)));
    if (fault != head_fault::kNone) {
      return fault;
    }
  }
  return framing.AtEnd();
}

}  // namespace shallotport
