#ifndef SHALLOTPORT_FAKES_FAKE_ENDPOINT_SERVER_H_
#define SHALLOTPORT_FAKES_FAKE_ENDPOINT_SERVER_H_

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/random_source.h"
#include "base/result.h"
#include "fakes/fake_announcer.h"
#include "fakes/fake_call.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_fault.h"
#include "fakes/fake_run_book.h"
#include "membership/endpoint_record.h"

struct _u_instance;  // NOLINT(bugprone-reserved-identifier)
struct _u_request;   // NOLINT(bugprone-reserved-identifier)
struct _u_response;  // NOLINT(bugprone-reserved-identifier)

namespace shallotport {

struct fake_endpoint_options {
  endpoint_record record;  // Its address is where the server listens.
  fake_engine_options engine;
  duration service_time{2'000};
  fault_setting fault;
  uint64_t seed = 1;
  std::string runs_file;
  uint32_t max_connections = 512;
  fake_announcer_options announcer;
};

// The HTTP server of a fake endpoint: a model runner in front of fake_engine,
// or a plain service. docs/ENDPOINT-PROTOCOL.md describes the interface.
class fake_endpoint_server {
 public:
  static result<std::unique_ptr<fake_endpoint_server>> Start(
      fake_endpoint_options options);

  ~fake_endpoint_server();
  fake_endpoint_server(const fake_endpoint_server&) = delete;
  fake_endpoint_server& operator=(const fake_endpoint_server&) = delete;

  // Announces the endpoint as leaving. It still accepts calls.
  void BeginLeaving();

  // Returns once no call has run for `idle`.
  void WaitUntilIdle(std::chrono::milliseconds idle);

 private:
  struct stream_reader;
  using handler = void (fake_endpoint_server::*)(const _u_request& request,
                                                 _u_response& response);
  struct route {
    const char* verb;
    const char* url;
    handler handle;
  };
  static const route kRoutes[];
  struct bound_route {
    fake_endpoint_server* server;
    handler handle;
  };

  explicit fake_endpoint_server(fake_endpoint_options options);
  status Listen();
  static int Dispatch(const _u_request* request,
                      _u_response* response,
                      void* bound);

  void HandleCompletion(const _u_request& request, _u_response& response);
  void HandleService(const _u_request& request, _u_response& response);
  void HandleCancel(const _u_request& request, _u_response& response);
  void HandleOutcome(const _u_request& request, _u_response& response);
  void HandleRuns(const _u_request& request, _u_response& response);
  void HandleOrder(const _u_request& request, _u_response& response);
  void HandleFault(const _u_request& request, _u_response& response);

  bool RefuseIfFaulty(fault_mode fault, _u_response& response) const;
  // Takes the call in unless its attempt is known; names an unnamed one.
  bool ReserveAttempt(const std::shared_ptr<fake_call>& call);
  void AnswerWhole(const std::shared_ptr<fake_call>& call,
                   _u_response& response);
  void AnswerStream(const std::shared_ptr<fake_call>& call,
                    _u_response& response);
  void FinishCall(const fake_call& call);
  void WaitSilently();
  fault_setting DrawFault();
  std::string AnnouncementJson();
  void RunEngine();
  void Deliver(const fake_engine_event& event);
  steady_time Now() const { return clock_.Now(); }

  fake_endpoint_options options_;
  system_clock_source clock_;
  fake_run_book run_book_;
  std::unique_ptr<_u_instance> instance_;
  std::vector<std::unique_ptr<bound_route>> bound_routes_;
  std::unique_ptr<fake_announcer> announcer_;

  std::mutex mutex_;
  std::condition_variable engine_changed_;
  fake_engine engine_;
  std::map<std::string, std::shared_ptr<fake_call>> calls_;
  std::string previous_attempt_ = "none";
  std::string previous_prompt_ = "none";
  random_source random_;
  bool is_leaving_ = false;
  bool is_stopping_ = false;
  uint64_t local_attempts_ = 0;
  uint32_t active_services_ = 0;
  steady_time last_active_;
  std::thread engine_thread_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_ENDPOINT_SERVER_H_
