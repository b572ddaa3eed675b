#ifndef SHALLOTPORT_FLEET_DOCUMENT_RECEIVER_H_
#define SHALLOTPORT_FLEET_DOCUMENT_RECEIVER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/document_fetch.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

class link_hub;

// Brings the newest configuration to this host: applies differences that
// control hosts send, reads what it cannot derive, and tells all control hosts
// what is in force. Owned by fleet_host; runs on its event loop.
class document_receiver {
 public:
  document_receiver(const clock_source& clock, link_hub& hub, host_id self);

  // Puts a newer document in force, by SetInForce() and SendReceipts().
  std::function<void(const configuration_document&)> on_document;
  // The control hosts that are linked.
  std::function<std::vector<host_id>()> control_hosts;

  void OnNotice(const host_id& from, std::string_view payload);
  void SetInForce(const configuration_document& document);
  // To all control hosts, once the document is in use.
  void SendReceipts();
  void Tick(steady_time now);

  const configuration_document& in_force() const { return in_force_; }
  // Encoded; for a new link.
  std::string FirstReceipt() const { return EncodeReceipt(true); }
  // Since when a control host has had a newer configuration than this host;
  // nullopt: none is known to.
  std::optional<steady_time> behind_since() const { return behind_since_; }
  uint64_t newest_noticed() const { return fetch_.newest_noticed(); }

 private:
  bool IsBehind() const { return fetch_.newest_noticed() > in_force_.version; }
  std::string EncodeReceipt(bool awaits_notice) const;
  void SendReceipt(const host_id& to, bool awaits_notice);
  // False if the difference cannot be applied.
  bool ApplyNotice(const document_notice& notice);
  void ReadOn();
  void OnChunk(std::string_view payload);

  const clock_source& clock_;
  link_hub& hub_;
  document_fetch fetch_;
  configuration_document in_force_;
  uint64_t digest_ = 0;
  std::optional<steady_time> behind_since_;
  steady_time next_repair_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_RECEIVER_H_
