#ifndef SHALLOTPORT_CONSENSUS_REPLICATED_STATE_H_
#define SHALLOTPORT_CONSENSUS_REPLICATED_STATE_H_

#include <iosfwd>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace shallotport {

// Names the slice that a command or query of the replicated log belongs to.
// Written into log entries: numbers are never reused.
enum class replicated_slice : uint8_t {
  kConfiguration = 1,
  kOrders = 2,
  kClaims = 3,
  kJobs = 4,
};

// What a command may depend on besides the state and itself.
struct apply_context {
  log_index index = 0;
  // Stamped by the leader into the entry; never decreases along the log.
  wall_milliseconds leader_time = 0;
};

// A consistent copy of one slice's state, cheap to take, that another thread
// then writes out while commands go on being applied.
class snapshot_writer {
 public:
  virtual ~snapshot_writer() = default;
  // Streams the whole state, payloads included.
  virtual status Write(std::ostream& out) = 0;
};

// One slice's deterministic state, driven by the committed commands of the
// replicated log in their order. Every member applies the same commands and so
// holds the same state. Touched by one thread at a time.
class replicated_state {
 public:
  virtual ~replicated_state() = default;

  // Applies one committed command and returns the encoded reply. A command
  // that is refused or malformed changes nothing and is answered in the reply.
  virtual std::string Apply(const apply_context& context,
                            std::string_view command) = 0;

  // Answers a query without changing the state.
  virtual std::string Query(std::string_view query) const = 0;

  virtual std::unique_ptr<snapshot_writer> BeginSnapshot() const = 0;

  // Replaces the state by one that a snapshot_writer wrote.
  virtual status LoadSnapshot(std::istream& in) = 0;

  // Dumps the state for operators; numbers in `out["counters"]` become metrics.
  virtual void WriteState(nlohmann::json& /*out*/) const {}
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICATED_STATE_H_
