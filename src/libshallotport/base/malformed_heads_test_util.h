#ifndef SHALLOTPORT_BASE_MALFORMED_HEADS_TEST_UTIL_H_
#define SHALLOTPORT_BASE_MALFORMED_HEADS_TEST_UTIL_H_

#include <ostream>
#include <string>
#include <vector>

namespace shallotport {

// A response with a head that no client may take for an answer.
struct malformed_head {
  std::string name;
  std::string bytes;  // Head and body.
};

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
    heads.push_back({name + "_and_answer",
                     head + "\r\n" + sound + "Content-Length: 5\r\n\r\nhello"});
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

}  // namespace shallotport

#endif  // SHALLOTPORT_BASE_MALFORMED_HEADS_TEST_UTIL_H_
