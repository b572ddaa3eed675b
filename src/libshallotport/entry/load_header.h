#ifndef SHALLOTPORT_ENTRY_LOAD_HEADER_H_
#define SHALLOTPORT_ENTRY_LOAD_HEADER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace shallotport {

// What an endpoint says of its load in a response: "3,0,8" or "3,0,8,120".
struct load_figures {
  uint32_t running = 0;
  uint32_t waiting = 0;
  // How long work takes on the endpoint's machine at this moment, as a multiple
  // of the usual time; nullopt if the endpoint does not say so.
  std::optional<double> pace;
};

// Returns nullopt unless the text begins with two whole numbers that are
// followed by a third one or by nothing. A fourth figure that is no positive
// decimal number is left out; so are further ones.
std::optional<load_figures> ParseLoadHeader(std::string_view text);

}  // namespace shallotport

#endif  // SHALLOTPORT_ENTRY_LOAD_HEADER_H_
