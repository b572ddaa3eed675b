#ifndef SHALLOTPORT_TRANSPORT_PEER_NETWORK_H_
#define SHALLOTPORT_TRANSPORT_PEER_NETWORK_H_

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "transport/link_monitor.h"
#include "transport/peer_message.h"

namespace shallotport {

// Where a peer can be reached.
struct peer_address {
  host_id host;
  std::string address;  // "IP:port", for TCP and UDP alike.
};

struct peer_network_options {
  host_id host;
  incarnation started = 0;
  std::string address;  // "IP:port" to bind, TCP and UDP.
  std::vector<peer_address> peers;
  link_intervals intervals;
  size_t max_queued_bytes_per_peer = 64UL * 1024 * 1024;
  uint64_t seed = 1;
};

// The messages between the hosts of the system: datagrams over UDP and streams
// over TCP, on one thread. A host dials each peer it sends to and closes a
// connection that went silent. Delivery is best effort: messages may be lost,
// never damaged; the duties resend what matters.
class peer_network {
 public:
  // Runs on the network's thread and must not block: it puts the message into
  // its duty's ring.
  using receiver = std::function<void(peer_message message)>;

  // Binds the sockets. kInvalidRequest when an address cannot be bound.
  static result<std::unique_ptr<peer_network>> Create(
      const peer_network_options& options,
      const clock_source& clock);

  virtual ~peer_network() = default;

  // Receivers are set before Start.
  virtual void SetReceiver(peer_channel channel, receiver receive) = 0;
  virtual void Start() = 0;
  virtual void Stop() = 0;

  // Thread-safe and without waiting. False when the peer is unknown, its queue
  // is full, or the datagram exceeds kMaxDatagramBytes. A message to this host
  // itself is delivered.
  virtual bool SendStream(peer_channel channel,
                          const host_id& to,
                          std::string payload) = 0;
  virtual bool SendDatagram(peer_channel channel,
                            const host_id& to,
                            std::string payload) = 0;

  // Learns or changes a peer's address; a changed one is dialled anew.
  virtual void SetPeer(const peer_address& peer) = 0;

  virtual void WriteState(nlohmann::json& out) const = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_TRANSPORT_PEER_NETWORK_H_
