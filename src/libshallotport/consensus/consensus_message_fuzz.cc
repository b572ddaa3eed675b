#include <cstddef>
#include <cstdint>
#include <string_view>

#include "consensus/consensus_core.h"
#include "consensus/consensus_message.h"

// Decodes arbitrary bytes as a message, passes it to a follower, and checks
// that a decoded message can be encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace shallotport;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  (void)DecodeEntry(bytes);
  (void)DecodeMembership(bytes);
  auto message = DecodeMessage(bytes);
  if (!IsOk(message)) {
    return 0;
  }
  if (!IsOk(DecodeMessage(EncodeMessage(ValueOf(message))))) {
    __builtin_trap();
  }
  core_options options;
  options.host = host_id("a");
  options.disk = 1;
  options.initial_members = {host_id("a"), host_id("b"), host_id("c")};
  consensus_core core(options, steady_time(), snapshot_point());
  consensus_message& received = ValueOf(message);
  received.group = options.group;
  received.to = options.host;
  received.to_incarnation = 0;
  for (int i = 0; i < 2; ++i) {
    core.Step(steady_time() + i * options.election_timeout, received);
    (void)core.TakeActions(steady_time() + i * options.election_timeout);
    core.Persisted(core.log().last_index());
  }
  return 0;
}
