#ifndef SHALLOTPORT_ROUTING_DOMAIN_OFFER_H_
#define SHALLOTPORT_ROUTING_DOMAIN_OFFER_H_

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace shallotport {

// Free capacity of one failure domain for one service, as estimated by one of
// its hosts.
struct service_offer {
  service_id service;
  uint32_t free_slots = 0;
  uint32_t endpoints = 0;         // Eligible ones.
  uint32_t expected_time_us = 0;  // Queue and service time.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, free_slots, endpoints, expected_time_us);
  }
};

// Sent on peer_channel::kSummaries to hosts of other failure domains, which
// spill requests according to it. Each message has the whole state: a higher
// sequence of the same host replaces a lower one.
struct domain_offer {
  domain_id domain;
  host_id host;
  incarnation started = 0;
  uint64_t sequence = 0;
  std::string address;  // "IP:port" that accepts spilled requests.
  std::vector<service_offer> services;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(domain, host, started, sequence, address, services);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_ROUTING_DOMAIN_OFFER_H_
