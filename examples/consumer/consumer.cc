// Embeds the membership core: two hosts that probe each other through memory.

#include <iostream>

#include "membership/membership_core.h"

int main() {
  using namespace shallotport;
  const steady_time start{std::chrono::seconds(1)};
  membership_options options;
  options.self = host_id("a1");
  options.domain = domain_id("a");
  options.address = "127.0.0.1:7001";
  options.seeds = {{host_id("a2"), "127.0.0.1:7002"}};
  result<membership_core> first = membership_core::Create(options, start, 1);
  options.self = host_id("a2");
  options.address = "127.0.0.1:7002";
  options.seeds = {{host_id("a1"), "127.0.0.1:7001"}};
  result<membership_core> second = membership_core::Create(options, start, 2);
  if (!IsOk(first) || !IsOk(second)) {
    return 1;
  }
  const steady_time later = start + std::chrono::seconds(2);
  for (const membership_action& action : ValueOf(first).OnTimer(later)) {
    if (const auto* sent = std::get_if<send_membership>(&action)) {
      ValueOf(second).OnMessage(later, host_id("a1"), sent->message);
    }
  }
  std::cout << "a2 sees " << ValueOf(second).LiveHosts().size()
            << " live host\n";
  return ValueOf(second).LiveHosts().size() == 1 ? 0 : 1;
}
