#include "settings/host_settings.h"

#include <fstream>
#include <set>
#include <sstream>

#include "settings/checked_yaml.h"

namespace shallotport {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kMegabyte = 1024ULL * 1024;

lane_settings ReadLane(checked_yaml& top,
                       std::string_view key,
                       uint64_t default_connections,
                       uint64_t default_body_bytes) {
  checked_yaml lane = top.Mapping(key, true);
  lane_settings settings;
  settings.address = lane.Address("address");
  settings.max_connections = static_cast<uint32_t>(
      lane.Integer("max_connections", default_connections, 1, 4096));
  settings.max_body_bytes = static_cast<uint32_t>(
      lane.Integer("max_body_bytes", default_body_bytes, 1024, 64 * kMegabyte));
  settings.idle_timeout =
      std::chrono::seconds(lane.Integer("idle_timeout_s", 30, 1, 3600));
  lane.Finish();
  return settings;
}

std::vector<peer_settings> ReadPeers(checked_yaml& top) {
  std::vector<peer_settings> peers;
  std::set<std::string> hosts;
  std::set<std::string> addresses;
  for (checked_yaml& entry : top.Mappings("peers", true)) {
    peer_settings peer;
    peer.host = host_id(entry.Text("host"));
    peer.domain = domain_id(entry.Text("domain"));
    peer.address = entry.Address("address");
    peer.is_control_member = entry.Flag("control", false);
    if (entry.Has("caller_address")) {
      peer.caller_address = entry.Address("caller_address");
    }
    if (!hosts.insert(peer.host.text()).second) {
      entry.AddProblem("host", "named twice: " + peer.host.text(),
                       "each host once");
    }
    if (!addresses.insert(peer.address).second) {
      entry.AddProblem("address", "used twice: " + peer.address,
                       "an address of its own for each host");
    }
    entry.Finish();
    peers.push_back(std::move(peer));
  }
  return peers;
}

void CheckOwnEntry(checked_yaml& top, const host_settings& settings) {
  size_t members = 0;
  const peer_settings* own = nullptr;
  for (const peer_settings& peer : settings.peers) {
    members += peer.is_control_member ? 1 : 0;
    if (peer.host == settings.host) {
      own = &peer;
    }
  }
  if (own == nullptr) {
    top.AddProblem("host", "not among peers: " + settings.host.text(),
                   "an entry of peers for this host");
    return;
  }
  if (own->address != settings.peer_address) {
    top.AddProblem("peer_address", "differs from the entry of peers",
                   own->address);
  }
  if (own->domain != settings.domain) {
    top.AddProblem("domain", "differs from the entry of peers",
                   own->domain.text());
  }
  if (own->is_control_member && settings.data_folder.empty()) {
    top.AddProblem("data_folder", "missing on a control member", "a folder");
  }
  if (members == 0) {
    top.AddProblem("peers", "no control member",
                   "control: true on one host at least");
  }
}

}  // namespace

result<host_settings> ParseHostSettings(std::string_view text,
                                        std::string_view file) {
  checked_yaml::problem_list problems;
  checked_yaml top = checked_yaml::Parse(text, file, problems);
  host_settings settings;
  settings.host = host_id(top.Text("host"));
  settings.domain = domain_id(top.Text("domain"));
  settings.data_folder = top.Has("data_folder") ? top.Text("data_folder") : "";
  settings.peer_address = top.Address("peer_address");
  settings.peers = ReadPeers(top);
  settings.caller_lane = ReadLane(top, "caller_lane", 256, 8 * kMegabyte);
  settings.endpoint_lane = ReadLane(top, "endpoint_lane", 128, kMegabyte);
  settings.operator_lane = ReadLane(top, "operator_lane", 32, 4 * kMegabyte);
  settings.operator_token = top.Text("operator_token");
  settings.endpoint_token = top.Text("endpoint_token");
  settings.drain_notice =
      top.Milliseconds("drain_notice_ms", milliseconds(2000), milliseconds(0),
                       milliseconds(60'000));
  settings.drain_timeout =
      top.Milliseconds("drain_timeout_ms", milliseconds(30'000),
                       milliseconds(0), milliseconds(600'000));
  settings.online_calls =
      static_cast<uint32_t>(top.Integer("online_calls", 256, 1, 4096));
  settings.batch_calls =
      static_cast<uint32_t>(top.Integer("batch_calls", 128, 1, 4096));
  settings.heartbeat_interval =
      top.Milliseconds("heartbeat_interval_ms", milliseconds(100),
                       milliseconds(10), milliseconds(10'000));
  settings.election_timeout =
      top.Milliseconds("election_timeout_ms", milliseconds(1000),
                       milliseconds(50), milliseconds(60'000));
  settings.claim_timeout =
      top.Milliseconds("claim_timeout_ms", milliseconds(2000), milliseconds(50),
                       milliseconds(60'000));
  if (settings.election_timeout < 3 * settings.heartbeat_interval) {
    top.AddProblem("election_timeout_ms", "too short for the heartbeats",
                   "at least 3 x heartbeat_interval_ms");
  }
  if (problems.empty()) {
    CheckOwnEntry(top, settings);
  }
  top.Finish();
  if (!problems.empty()) {
    return MakeError(error_kind::kInvalidRequest, Describe(problems));
  }
  return settings;
}

result<host_settings> LoadHostSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return MakeError(error_kind::kNotFound, path + ": cannot be read");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseHostSettings(text.str(), path);
}

}  // namespace shallotport
