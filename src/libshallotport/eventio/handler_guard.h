#ifndef SHALLOTPORT_EVENTIO_HANDLER_GUARD_H_
#define SHALLOTPORT_EVENTIO_HANDLER_GUARD_H_

#include <cstdint>
#include <exception>
#include <string_view>

namespace shallotport {

// Counts and logs an exception that escaped the processing of `source`'s
// bytes. Never throws: there may be no memory for the line.
void RecordHandlerFailure(std::string_view source,
                          std::string_view reason) noexcept;

// Since the start of the process.
uint64_t HandlerFailureCount() noexcept;

// Runs a step that processes bytes received from `source`. False if an
// exception escaped it: the caller then closes the one connection or drops the
// one message, because an exception that leaves the event loop ends the
// process. Code whose partial effects must not be kept does not run under it.
template <typename Step>
bool RunGuarded(std::string_view source, Step&& step) noexcept {
  try {
    step();
    return true;
  } catch (const std::exception& failure) {
    RecordHandlerFailure(source, failure.what());
  } catch (...) {
    RecordHandlerFailure(source, "unknown exception");
  }
  return false;
}

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_HANDLER_GUARD_H_
