#ifndef SHALLOTPORT_FAKES_FAKE_ANNOUNCER_H_
#define SHALLOTPORT_FAKES_FAKE_ANNOUNCER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace shallotport {

struct fake_announcer_options {
  std::vector<std::string> hosts;  // "IP:port" of entry hosts.
  std::string token;
  std::chrono::milliseconds period{500};
};

// The thread of a fake endpoint that posts its announcement to one of the
// given hosts, and goes on to the next one when that fails.
class fake_announcer {
 public:
  // `body` returns the announcement as JSON.
  fake_announcer(fake_announcer_options options,
                 std::function<std::string()> body);
  ~fake_announcer();
  fake_announcer(const fake_announcer&) = delete;
  fake_announcer& operator=(const fake_announcer&) = delete;

  void Start();
  void Stop();

  // Has the next announcement sent without waiting for the period.
  void Hasten();

 private:
  void Run();
  bool SendTo(const std::string& host) const;

  fake_announcer_options options_;
  std::function<std::string()> body_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_hastened_ = false;
  bool is_stopping_ = false;
  size_t current_ = 0;
  std::thread thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_ANNOUNCER_H_
