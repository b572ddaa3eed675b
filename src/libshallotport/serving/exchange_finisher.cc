#include "serving/exchange_finisher.h"

#include "serving/online_exchange.h"

namespace shallotport {

namespace {

constexpr size_t kThreads = 8;
constexpr size_t kRingCapacity = 4096;
constexpr duration kLongestWait = std::chrono::hours(1);

}  // namespace

exchange_finisher::exchange_finisher() : ring_(kRingCapacity) {
  for (size_t i = 0; i < kThreads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

exchange_finisher::~exchange_finisher() {
  Stop();
}

void exchange_finisher::Adopt(std::shared_ptr<online_exchange> exchange) {
  const std::optional<std::shared_ptr<online_exchange>> refused =
      ring_.Offer(std::move(exchange));
  if (refused) {
    (*refused)->RunToEnd();
  }
}

void exchange_finisher::Stop() {
  ring_.Close();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void exchange_finisher::Run() {
  const system_clock_source clock;
  while (true) {
    std::optional<std::shared_ptr<online_exchange>> exchange =
        ring_.PopUntil(clock.Now() + kLongestWait);
    if (exchange) {
      (*exchange)->RunToEnd();
    } else if (ring_.IsClosed()) {
      return;
    }
  }
}

}  // namespace shallotport
