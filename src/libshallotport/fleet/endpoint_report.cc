#include "fleet/endpoint_report.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <limits>
#include <string_view>

namespace shallotport {

namespace {

// The longest names in use have some 30 bytes. All of them are kept by every
// host and sent to each host that starts.
constexpr size_t kMaxNameBytes = 128;
// A load report counts up to this many requests at an endpoint.
constexpr uint32_t kMaxSlots = std::numeric_limits<uint16_t>::max();
// JSON writers keep whole numbers exactly up to here.
constexpr uint64_t kMaxNumber = uint64_t{1} << 53;

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c >= ' ' && c != 0x7f; });
}

// The id is sent to endpoints in a header field, and in paths.
bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

bool IsShortName(std::string_view text) {
  return text.size() <= kMaxNameBytes && IsPrintable(text);
}

bool IsName(std::string_view text) {
  return !text.empty() && IsShortName(text);
}

// Of one host that can be connected to.
bool IsHostAddress(const std::string& ip) {
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address_v4(ip, failure);
  const bool is_broadcast = address == boost::asio::ip::address_v4::broadcast();
  return !failure && !address.is_unspecified() && !address.is_multicast() &&
         !is_broadcast;
}

struct bound {
  std::string_view expected;  // With the field's name.
  bool (*holds)(const endpoint_report& report);
};

// Of every report, a leave included, which may tell nothing but the id.
constexpr bound kBounds[] = {
    {"id: 1 to 128 visible characters",
     [](const endpoint_report& r) { return IsId(r.endpoint.text()); }},
    {"service: up to 128 bytes",
     [](const endpoint_report& r) { return IsShortName(r.service.text()); }},
    {"zone: up to 128 bytes",
     [](const endpoint_report& r) { return IsShortName(r.domain.text()); }},
    {"version: up to 128 bytes",
     [](const endpoint_report& r) { return IsShortName(r.software_version); }},
    {"seq: up to 2^53",
     [](const endpoint_report& r) { return r.sequence <= kMaxNumber; }},
    {"born: up to 2^53",
     [](const endpoint_report& r) { return r.start_time_ms <= kMaxNumber; }},
};

constexpr bound kServingBounds[] = {
    {"service: not empty",
     [](const endpoint_report& r) { return IsName(r.service.text()); }},
    {"zone: not empty",
     [](const endpoint_report& r) { return IsName(r.domain.text()); }},
    {"version: not empty",
     [](const endpoint_report& r) { return IsName(r.software_version); }},
    {"slots: 1 to 65535",
     [](const endpoint_report& r) {
       return r.slots >= 1 && r.slots <= kMaxSlots;
     }},
    {"address: of one host, with a port",
     [](const endpoint_report& r) {
       return IsHostAddress(r.ip) && r.port != 0;
     }},
};

}  // namespace

status CheckReport(const endpoint_report& report) {
  const auto is_broken = [&](const bound& each) { return !each.holds(report); };
  const auto* broken =
      std::find_if(std::begin(kBounds), std::end(kBounds), is_broken);
  if (broken != std::end(kBounds)) {
    return MakeError(error_kind::kInvalidRequest,
                     std::string(broken->expected));
  }
  if (report.stage == endpoint_stage::kLeft) {
    return success{};
  }
  broken = std::find_if(std::begin(kServingBounds), std::end(kServingBounds),
                        is_broken);
  if (broken != std::end(kServingBounds)) {
    return MakeError(error_kind::kInvalidRequest,
                     std::string(broken->expected));
  }
  return success{};
}

}  // namespace shallotport
