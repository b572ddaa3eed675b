#ifndef SHALLOTPORT_FAKES_FAKE_CALL_H_
#define SHALLOTPORT_FAKES_FAKE_CALL_H_

#include <condition_variable>
#include <cstdint>
#include <string>

#include "fakes/fake_fault.h"

namespace shallotport {

// One call of a fake model runner, shared by the engine's thread and the
// connection's thread. Guarded by the server's mutex.
struct fake_call {
  std::string attempt;       // As the caller named it.
  std::string shown_id;      // What the answer says; differs when crossed.
  std::string prompt;        // What is computed.
  std::string shown_prompt;  // Whose text is sent; differs when crossed.
  std::string key;
  uint32_t token_count = 0;
  uint32_t first_token = 0;
  bool is_chat = false;
  fault_mode fault = fault_mode::kNone;

  uint32_t computed_tokens = 0;  // Absolute index after the last one.
  bool is_finished = false;
  bool is_cancelled = false;
  std::condition_variable changed;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_CALL_H_
