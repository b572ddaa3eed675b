#ifndef SHALLOTPORT_BASE_MALFORMED_HEADS_TEST_UTIL_H_
#define SHALLOTPORT_BASE_MALFORMED_HEADS_TEST_UTIL_H_

#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotport {

// A response with a head that no client may take for an answer.
struct malformed_head {
  std::string name;
  std::string bytes;  // Head and body.
};

inline std::string Joined(std::initializer_list<std::string_view> parts) {
  std::string all;
  for (const std::string_view each : parts) {
    all.append(each);
  }
  return all;
}

inline void PrintTo(const malformed_head& each, std::ostream* out) {
  *out << each.name;
}

// `id_field`: the line that names the request, as sound endpoints write it.
inline std::vector<malformed_head> HeadsWithMalformedStatus(
    const std::string& id_field) {
  const std::string sound = "HTTP/1.1 200 OK\r\n" + id_field;
  std::vector<malformed_head> heads;
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    const std::string head =
        "HTTP/1.1 " + std::string(status) + " Odd\r\n" + id_field;
    const std::string name = "status_" + std::string(status);
    heads.push_back({name, head + "Content-Length: 5\r\n\r\nhello"});
    heads.push_back(
        {name + "_without_body", head + "Content-Length: 0\r\n\r\n"});
    heads.push_back({name + "_without_length", head + "\r\nhello"});
    heads.push_back({name + "_in_chunks",
                     head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                            "0\r\n\r\n"});
    // What follows a misread interim response would be the answer.
    heads.push_back(
        {name + "_and_answer",
         Joined({head, "\r\n", sound, "Content-Length: 5\r\n\r\nhello"})});
    heads.push_back(
        {name + "_of_events", head + "Content-Type: text/event-stream\r\n\r\n"
                                     "data: [DONE]\n\n"});
  }
  for (const char* line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK",
        "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1200 OK",
        "HTTP/1.2 200 OK", "HTTP/2 200 OK", "http/1.1 200 OK", "HTTP/1.1",
        " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1\t200 OK"}) {
    heads.push_back({"status_line_" + std::to_string(heads.size()),
                     std::string(line) + "\r\n" + id_field +
                         "Content-Length: 5\r\n\r\n"
                         "hello"});
  }
  return heads;
}

// As above, with sound status lines.
inline std::vector<malformed_head> HeadsWithMalformedFields(
    const std::string& id_field) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 5\r\n";
  std::vector<malformed_head> heads;
  const auto add = [&](const std::string& name, const std::string& fields,
                       const std::string& body = "hello") {
    heads.push_back({name, status + id_field + fields + "\r\n" + body});
  };
  // Blanks, control bytes and delimiters in a name.
  for (int byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~:";
    const bool is_sound = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                          (c >= 'A' && c <= 'Z') ||
                          kMarks.find(c) != std::string_view::npos;
    if (is_sound) {
      continue;
    }
    const std::string odd(1, c);
    const std::string name = "name_byte_" + std::to_string(byte);
    add(name + "_inside", Joined({"X-O", odd, "dd: v\r\n", length}));
    add(name + "_last", Joined({"X-Odd", odd, ": v\r\n", length}));
    // The line feed ends a line for some parsers.
    if (c != '\r' && c != '\n') {
      add(name + "_first", Joined({odd, "X-Odd: v\r\n", length}));
    }
  }
  for (int byte = 0; byte < 128; ++byte) {
    const char c = static_cast<char>(byte);
    if ((c < 0x20 && c != '\t') || c == 0x7f) {
      add("value_byte_" + std::to_string(byte),
          "X-Odd: a" + std::string(1, c) + "b\r\n" + length);
    }
  }
  add("no_colon", "X-Odd\r\n" + length);
  add("empty_name", ": v\r\n" + length);
  add("blank_line", "X-Odd: v\r\n \r\n" + length);
  // A line that begins with a blank is a field, goes on with the one before,
  // or is nothing.
  add("folded_value", "X-Odd: a\r\n b\r\n" + length);
  add("folded_length", "X-Odd: a\r\n Content-Length: 5\r\n");
  add("folded_with_tab", "X-Odd: a\r\n\tContent-Length: 5\r\n");
  add("folded_coding", "X-Odd:\r\n Transfer-Encoding: chunked\r\n",
      "5\r\nhello\r\n0\r\n\r\n");
  add("folded_refusal", "X-Odd: a\r\n X-Not-Run: 1\r\n" + length);
  add("length_after_blank", "Content-Length : 5\r\n");
  add("coding_after_blank", "Transfer-Encoding : chunked\r\n",
      "5\r\nhello\r\n0\r\n\r\n");
  heads.push_back({"bare_line_feeds",
                   "HTTP/1.1 200 OK\nContent-Length: "
                   "5\n\nhello"});
  heads.push_back({"bare_line_feed_at_end",
                   status + id_field + "Content-Length: 5\n\nhello"});
  add("bare_line_feed", "X-Odd: a\nX-Other: b\r\n" + length);
  using named_value = std::pair<const char*, const char*>;
  for (const auto& [name, value] :
       {named_value("empty", ""), named_value("plus", "+5"),
        named_value("minus", "-5"), named_value("letter", "5x"),
        named_value("hexadecimal", "0x5"), named_value("blank", "5 5"),
        named_value("list", "5, 6"), named_value("semicolon", "5;"),
        named_value("too_large", "99999999999999999999"),
        named_value("fraction", "5.0")}) {
    add("length_" + std::string(name),
        "Content-Length: " + std::string(value) + "\r\n");
  }
  add("two_lengths", "Content-Length: 5\r\nContent-Length: 6\r\n");
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  for (const auto& [name, value] :
       {named_value("gzip", "gzip"), named_value("identity", "identity"),
        named_value("chunked_first", "chunked, gzip"),
        named_value("chunked_last", "gzip, chunked"),
        named_value("chunked_twice", "chunked, chunked"),
        named_value("parameter", "chunked;q=1"), named_value("empty", ""),
        named_value("unknown", "x")}) {
    const std::string coding =
        "Transfer-Encoding: " + std::string(value) + "\r\n";
    add("coding_" + std::string(name), coding, chunks);
    add("coding_and_length_" + std::string(name), coding + length);
  }
  add("two_codings",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      "5\r\nhello\r\n0\r\n\r\n");
  add("coding_and_length", "Transfer-Encoding: chunked\r\n" + length,
      "5\r\nhello\r\n0\r\n\r\n");
  add("length_and_coding", length + "Transfer-Encoding: chunked\r\n",
      "5\r\nhello\r\n0\r\n\r\n");
  heads.push_back({"coding_of_http_1_0",
                   "HTTP/1.0 200 OK\r\n" + id_field +
                       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                       "0\r\n\r\n"});
  return heads;
}

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_MALFORMED_HEADS_TEST_UTIL_H_
