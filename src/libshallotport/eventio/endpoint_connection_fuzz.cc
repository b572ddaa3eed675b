#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "eventio/boot_clock.h"
#include "eventio/endpoint_connection_pool.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kPatience{200};

// The endpoint responds with the bytes of the current input, in two parts, and
// closes the connection.
struct responding_fixture {
  responding_fixture()
      : endpoint(loop,
                 [this](raw_connection& to, const std::string&) {
                   to.Write(std::string(response.substr(0, split)));
                   loop.poll();
                   to.Write(std::string(response.substr(split)));
                   to.Close();
                 }),
        pool(loop, clock) {}

  boost::asio::io_context loop;
  boot_clock_source clock;
  std::string_view response;
  size_t split = 0;
  scripted_endpoint endpoint;
  endpoint_connection_pool pool;
};

}  // namespace

}  // namespace shallotport

// Responds to one call with arbitrary bytes. The call must end exactly once;
// its head must precede its body, must have a final status, and must echo the
// expected id or none.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  static responding_fixture fixture;
  if (size < 2) {
    return 0;
  }
  fixture.response =
      std::string_view(reinterpret_cast<const char*>(data + 1), size - 1);
  fixture.split = data[0] * fixture.response.size() / UINT8_MAX;
  outbound_request request;
  request.method = "GET";
  request.bytes = FormatRequest("GET", "/", {}, "");
  request.echo_header = "X-Id";
  request.echo_value = "1";
  int heads = 0;
  int ends = 0;
  call_events events;
  events.on_head = [&](const response_head& head) {
    const std::string* echo = head.headers.Find("X-Id");
    if (++heads > 1 || head.status < 200 || head.status > 599 ||
        (echo != nullptr && *echo != "1")) {
      __builtin_trap();
    }
  };
  events.on_body = [&](std::string_view) {
    if (heads != 1 || ends != 0) {
      __builtin_trap();
    }
  };
  events.on_end = [&](call_end end) {
    if (++ends > 1 || (end == call_end::kComplete && heads != 1)) {
      __builtin_trap();
    }
  };
  const auto call = fixture.pool.Start({"127.0.0.1", fixture.endpoint.port()},
                                       std::move(request), std::move(events));
  if (!RunUntil(
          fixture.loop, [&] { return ends == 1; }, kPatience)) {
    __builtin_trap();
  }
  fixture.loop.restart();
  fixture.loop.poll();
  return 0;
}
