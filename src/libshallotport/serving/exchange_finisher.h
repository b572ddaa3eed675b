#ifndef SHALLOTPORT_SERVING_EXCHANGE_FINISHER_H_
#define SHALLOTPORT_SERVING_EXCHANGE_FINISHER_H_

#include <memory>
#include <thread>
#include <vector>

#include "base/bounded_ring.h"

namespace shallotport {

class online_exchange;

// Runs to their end the exchanges whose caller has been answered or has gone:
// answers that are still to be recorded, claims that are still to be settled.
class exchange_finisher {
 public:
  exchange_finisher();
  ~exchange_finisher();

  // Thread-safe. When the ring is full the calling thread runs the exchange.
  void Adopt(std::shared_ptr<online_exchange> exchange);

  // Finishes what was adopted.
  void Stop();

 private:
  void Run();

  bounded_ring<std::shared_ptr<online_exchange>> ring_;
  std::vector<std::thread> threads_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_EXCHANGE_FINISHER_H_
