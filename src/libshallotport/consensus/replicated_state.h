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

// The slice that a command or query of the replicated log belongs to. Stored in
// log entries: numbers are never reused.
enum class replicated_slice : uint8_t {
  kConfiguration = 1,
  kOrders = 2,
  kClaims = 3,
  kJobs = 4,
};

// All that applying a command may depend on besides the state and the command.
struct apply_context {
  log_index index = 0;
  // Set by the leader when it appended the entry; never decreases along the
  // log.
  wall_milliseconds leader_time = 0;
};

// A consistent copy of one slice's state that is cheap to take. Another thread
// writes it out while further commands are applied.
class snapshot_writer {
 public:
  virtual ~snapshot_writer() = default;
  // Writes the whole state, including payloads.
  virtual status Write(std::ostream& out) = 0;
};

// The deterministic state of one slice. Every member applies the committed
// commands of the replicated log in the same order and thereby holds the same
// state. Accessed by one thread at a time.
class replicated_state {
 public:
  virtual ~replicated_state() = default;

  // Applies one committed command and returns the encoded reply. A rejected or
  // malformed command changes nothing; the reply says so.
  virtual std::string Apply(const apply_context& context,
                            std::string_view command) = 0;

  // Returns the encoded reply to a query.
  virtual std::string Query(std::string_view query) const = 0;

  virtual std::unique_ptr<snapshot_writer> BeginSnapshot() const = 0;

  // Replaces the state by one that a snapshot_writer wrote.
  virtual status LoadSnapshot(std::istream& in) = 0;

  // Dumps the state for operators; numbers in `out["counters"]` become metrics.
  virtual void WriteState(nlohmann::json& /*out*/) const {}
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_REPLICATED_STATE_H_
