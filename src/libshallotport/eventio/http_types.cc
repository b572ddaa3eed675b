#include "eventio/http_types.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <ostream>

namespace shallotport {

namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
    "Connection", "Keep-Alive",     "Proxy-Connection",
    "TE",         "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Proxy-Authenticate",
    "Expect"};

char Lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [&](std::string_view each) { return EqualsIgnoringCase(each, name); });
}

const std::string* header_list::Find(std::string_view name) const {
  for (const field& each : fields_) {
    if (EqualsIgnoringCase(each.first, name)) {
      return &each.second;
    }
  }
  return nullptr;
}

std::string_view header_list::Value(std::string_view name) const {
  const std::string* found = Find(name);
  return found == nullptr ? std::string_view() : std::string_view(*found);
}

void header_list::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const field& each) {
    return EqualsIgnoringCase(each.first, name);
  });
}

std::string_view inbound_request::Path() const {
  const std::string_view path_and_query = target;
  return path_and_query.substr(0, path_and_query.find('?'));
}

std::string_view inbound_request::Query() const {
  const std::string_view path_and_query = target;
  const size_t query_mark = path_and_query.find('?');
  return query_mark == std::string_view::npos
             ? std::string_view()
             : path_and_query.substr(query_mark + 1);
}

std::string_view ReasonPhrase(int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          const header_list& headers,
                          std::string_view body) {
  std::string out;
  out.reserve(256 + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : headers.fields()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  const bool has_body = !body.empty() || method == "POST" || method == "PUT";
  if (has_body) {
    out.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  }
  out.append("\r\n").append(body);
  return out;
}

}  // namespace shallotport
