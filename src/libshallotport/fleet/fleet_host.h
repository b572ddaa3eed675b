#ifndef SHALLOTPORT_FLEET_FLEET_HOST_H_
#define SHALLOTPORT_FLEET_FLEET_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "eventio/link_hub.h"
#include "fleet/endpoint_directory.h"
#include "fleet/fleet_messages.h"
#include "fleet/host_directory.h"

namespace shallotport {

// Who this host is and how it finds the others.
struct fleet_host_options {
  host_announcement self;
  uint16_t port = 0;                  // Between hosts; the same on all.
  std::vector<std::string> seed_ips;  // Some of the control hosts.
  // Where links between hosts are accepted and dialed from, when that is not
  // the address under which the others know this host; empty: it is.
  std::string link_bind_ip;
};

// This host's part in the fleet: it joins through the seeds, keeps a link to
// every control host (and to the job stores where `links_to_stores`), and
// learns from them of hosts, endpoints and configuration. What each control
// host says is merged; the newest word counts.
class fleet_host {
 public:
  fleet_host(boost::asio::io_context& loop,
             const clock_source& clock,
             fleet_host_options options,
             bool links_to_stores);

  status Start();
  // Call ten times a second or more.
  void Tick(steady_time now);

  // Called after the change is in.
  std::function<void(const configuration_document&)> on_document;
  std::function<void(const endpoint_directory::entry&)> on_endpoint;
  std::function<void()> on_directory;
  std::function<void(const host_id& from, const group_envelope&)> on_consensus;
  // Every frame that no case above handles.
  link_hub::frame_handler on_unhandled_frame;

  link_hub& hub() { return hub_; }
  const host_announcement& self() const { return options_.self; }
  void SetDisk(incarnation disk);
  void SetSeeds(std::vector<std::string> seed_ips);

  // Takes in a report that this host heard itself; false when it is old.
  bool RecordEndpoint(const endpoint_report& report);
  // Takes in a document; only a higher version counts.
  bool RecordDocument(const configuration_document& document);
  void RecordHost(const host_announcement& host);

  const host_directory& hosts() const { return hosts_; }
  const endpoint_directory& endpoints() const { return endpoints_; }
  const configuration_document& document() const { return document_; }
  const std::vector<host_id>& job_founders() const { return job_founders_; }
  const std::set<std::string>& retiring() const { return retiring_; }
  // Hosts of a role heard of lately, this one included.
  std::vector<host_announcement> LiveHosts(host_role role) const;
  uint32_t entry_host_count() const { return entry_host_count_; }
  bool HasControlLink() const;

  void SendConsensus(const host_id& to, uint32_t group, std::string bytes);

 private:
  void OnFrame(host_link& link, uint8_t kind, std::string_view payload);
  void OnDirectory(std::string_view payload);
  void UpdateTargets(steady_time now);
  void Announce();

  const clock_source& clock_;
  fleet_host_options options_;
  const bool links_to_stores_;
  link_hub hub_;
  host_directory hosts_;
  endpoint_directory endpoints_;
  configuration_document document_;
  std::vector<host_id> job_founders_;
  std::set<std::string> retiring_;
  uint32_t entry_host_count_ = 0;
  steady_time next_announcement_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_FLEET_HOST_H_
