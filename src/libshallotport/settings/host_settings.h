#ifndef SHALLOTPORT_SETTINGS_HOST_SETTINGS_H_
#define SHALLOTPORT_SETTINGS_HOST_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

// Another host, or this one, as named in the settings.
struct peer_settings {
  host_id host;
  domain_id domain;
  std::string address;             // "IP:port" for TCP and UDP.
  bool is_control_member = false;  // Founding member of the replicated log.
  std::string caller_address;  // "IP:port" for spilled requests; may be empty.
};

// Bounds of one HTTP interface.
struct lane_settings {
  std::string address;  // "IP:port" to listen on.
  uint32_t max_connections = 0;
  uint32_t max_body_bytes = 0;
  std::chrono::seconds idle_timeout{0};
};

// What one daemon reads from its settings file. Everything that all hosts
// share is in the replicated configuration instead.
struct host_settings {
  host_id host;
  domain_id domain;
  std::string data_folder;  // Empty: the host keeps no durable state.
  std::string peer_address;
  std::vector<peer_settings> peers;  // This host included.

  lane_settings caller_lane;
  lane_settings endpoint_lane;
  lane_settings operator_lane;
  std::string operator_token;
  std::string endpoint_token;

  // After SIGTERM: how long the host, no longer ready, still takes requests,
  // and then how long it waits for those under way.
  std::chrono::milliseconds drain_notice{0};
  std::chrono::milliseconds drain_timeout{0};
  uint32_t online_calls = 0;  // Calls to endpoints at the same time.
  uint32_t batch_calls = 0;

  std::chrono::milliseconds heartbeat_interval{0};
  std::chrono::milliseconds election_timeout{0};
  std::chrono::milliseconds claim_timeout{0};
};

// Parses and checks a settings file's text. The error's detail lists every
// problem, one a line, as "FILE:LINE: KEY: problem; expected ...".
result<host_settings> ParseHostSettings(std::string_view text,
                                        std::string_view file);

// Reads `path` and parses it; kNotFound when it cannot be read.
result<host_settings> LoadHostSettings(const std::string& path);

}  // namespace shallotport

#endif  // SHALLOTPORT_SETTINGS_HOST_SETTINGS_H_
