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
#include "eventio/path_monitor.h"
#include "fleet/document_receiver.h"
#include "fleet/endpoint_directory.h"
#include "fleet/fleet_messages.h"
#include "fleet/host_directory.h"

namespace shallotport {

// The identity of this host and how it finds the others.
struct fleet_host_options {
  host_announcement self;
  uint16_t port = 0;  // For links between hosts; the same on all.
  // Where job stores open connections to endpoints for hosts that are cut off
  // from them; the same on all. 0: they do not.
  uint16_t relay_port = 0;
  std::vector<std::string> seed_ips;  // Some of the control hosts.
  // Address on which links between hosts are accepted and from which they are
  // dialed, if it differs from the address under which the others know this
  // host; empty: it does not.
  std::string link_bind_ip;
};

// Connects this host to the fleet: joins through the seeds, keeps a link to
// every control host (and to the job stores if `links_to_stores`), and receives
// hosts, endpoints and configuration from them. What the control hosts send is
// merged; newer information replaces older. Runs on one event loop.
class fleet_host {
 public:
  fleet_host(boost::asio::io_context& loop,
             const clock_source& clock,
             fleet_host_options options,
             bool links_to_stores);

  status Start();
  // Call at least ten times a second.
  void Tick(steady_time now);

  // Called after the change was applied.
  std::function<void(const configuration_document&)> on_document;
  std::function<void(const endpoint_directory::entry&)> on_endpoint;
  // A later endpoint reported from this one's address; it counts again when it
  // reports again.
  std::function<void(const endpoint_id&)> on_endpoint_replaced;
  std::function<void()> on_directory;
  std::function<void(const host_id& from, const group_envelope&)> on_consensus;
  // Called for each frame that fleet_host does not handle itself.
  link_hub::frame_handler on_unhandled_frame;

  link_hub& hub() { return hub_; }
  const link_hub& hub() const { return hub_; }
  const host_announcement& self() const { return options_.self; }
  void SetDisk(incarnation disk);
  void SetSeeds(std::vector<std::string> seed_ips);

  // Applies a report that this host received; false if it is stale.
  bool RecordEndpoint(const endpoint_report& report,
                      endpoint_directory::source from);
  // Applies a document if its version is higher than the current one.
  bool RecordDocument(const configuration_document& document);
  void RecordHost(const host_announcement& host);

  // That other hosts passed on; left out.
  uint64_t malformed_reports() const { return malformed_reports_; }

  const host_directory& hosts() const { return hosts_; }
  const endpoint_directory& endpoints() const { return endpoints_; }
  const configuration_document& document() const {
    return documents_.in_force();
  }
  const document_receiver& documents() const { return documents_; }
  const std::vector<host_id>& job_founders() const { return job_founders_; }
  const std::set<std::string>& retiring() const { return retiring_; }
  // Hosts of a role with a recent announcement, this one included.
  std::vector<host_announcement> LiveHosts(host_role role) const;
  // Hosts that relay connections to endpoints and are linked to this one; those
  // of the own failure domain first.
  std::vector<relay_address> Relays() const;
  uint32_t entry_host_count() const { return entry_host_count_; }
  bool HasControlLink() const;
  // To every control host that is known, and at least to one.
  bool HasAllControlLinks() const;
  // Whether this host has received all that the control hosts have passed on
  // until now: each of them that is known replies within `timeout`. The handler
  // is called once, possibly before this returns.
  void ConfirmView(duration timeout,
                   std::function<void(bool is_current)> on_done);

  void SendConsensus(const host_id& to, uint32_t group, std::string bytes);

 private:
  void OnFrame(host_link& link, uint8_t kind, std::string_view payload);
  std::vector<host_id> LinkedControlHosts() const;
  void OnDirectory(std::string_view payload);
  // Applied the first report of an endpoint's start.
  void OnEndpointStarted(const endpoint_report& report);
  void UpdateTargets(steady_time now);
  void Announce();

  const clock_source& clock_;
  fleet_host_options options_;
  const bool links_to_stores_;
  link_hub hub_;
  host_directory hosts_;
  endpoint_directory endpoints_;
  document_receiver documents_;
  std::vector<host_id> job_founders_;
  std::set<std::string> retiring_;
  uint32_t entry_host_count_ = 0;
  uint64_t malformed_reports_ = 0;
  steady_time next_announcement_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_FLEET_HOST_H_
