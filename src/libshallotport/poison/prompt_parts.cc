#include "poison/prompt_parts.h"

#include <algorithm>
#include <cstdio>

#include "base/digest.h"
#include "eventio/http_types.h"

namespace shallotport {

std::vector<prompt_part> SharedPromptParts(const header_list& headers,
                                           std::string_view name) {
  std::vector<prompt_part> parts;
  if (name.empty()) {
    return parts;
  }
  std::string_view last_id;
  const auto add_last = [&] {
    const prompt_part part = HashOf(last_id);
    const bool is_known =
        std::find(parts.begin(), parts.end(), part) != parts.end();
    if (!last_id.empty() && !is_known && parts.size() < kMaxSharedParts) {
      parts.push_back(part);
    }
  };
  for (const auto& [field, value] : headers.fields()) {
    if (!EqualsIgnoringCase(field, name)) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::string_view entry = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(entry.size() + 1, rest.size()));
      std::string_view id = entry.substr(0, entry.find(':'));
      id.remove_prefix(std::min(id.find_first_not_of(" \t"), id.size()));
      id = id.substr(0, id.find_last_not_of(" \t") + 1);
      if (id.empty()) {
        continue;
      }
      add_last();
      last_id = id;
    }
  }
  return parts;
}

std::string FormatPromptParts(const std::vector<prompt_part>& parts) {
  std::string text;
  for (const prompt_part part : parts) {
    char digits[17];
    std::snprintf(digits, sizeof(digits), "%016llx",
                  static_cast<unsigned long long>(part));
    text += text.empty() ? "" : ",";
    text += digits;
  }
  return text;
}

}  // namespace shallotport
