#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

#include "eventio/boot_clock.h"
#include "eventio/http_connection.h"
#include "eventio/http_listener.h"
#include "eventio/loopback_test_util.h"

namespace shallotport {

namespace {

// Long enough for loopback; each input ends with the caller's half-close.
constexpr std::chrono::milliseconds kPatience{200};

// One listener for all inputs.
struct listener_fixture {
  listener_fixture()
      : listener(loop,
                 clock,
                 [this](const inbound_request& request, const auto& exchange) {
                   ++dispatched;
                   const bool is_framed_twice =
                       request.headers.Find("Content-Length") != nullptr &&
                       request.headers.Find("Transfer-Encoding") != nullptr;
                   if (is_framed_twice || request.target.empty()) {
                     __builtin_trap();
                   }
                   exchange->Respond(200, {}, request.body);
                 }) {
    boost::asio::ip::tcp::acceptor probe(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    port = probe.local_endpoint().port();
    probe.close();
    if (!IsOk(listener.Listen("127.0.0.1", port))) {
      std::abort();
    }
    listener_limits limits;
    limits.header_bytes = 1u << 10;
    limits.body_bytes = 2u << 10;
    listener.SetLimits(limits);
  }

  boost::asio::io_context loop;
  boot_clock_source clock;
  int dispatched = 0;
  uint16_t port = 0;
  http_listener listener;
};

}  // namespace

}  // namespace shallotport

// Sends arbitrary bytes as a caller, in two parts split at the position that
// the first byte encodes, and half-closes the connection. The connection must
// end, and no dispatched request may have both Content-Length and
// Transfer-Encoding.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  static listener_fixture fixture;
  if (size < 2) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data + 1),
                               size - 1);
  const size_t split = data[0] * bytes.size() / UINT8_MAX;
  const auto caller = ConnectRaw(fixture.loop, "127.0.0.1", fixture.port);
  caller->Write(std::string(bytes.substr(0, split)));
  fixture.loop.restart();
  fixture.loop.poll();
  caller->Write(std::string(bytes.substr(split)));
  boost::system::error_code ignored;
  caller->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  if (!RunUntil(
          fixture.loop, [&] { return caller->is_ended; }, kPatience)) {
    __builtin_trap();
  }
  caller->Close();
  return 0;
}
