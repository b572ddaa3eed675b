#ifndef SHALLOTPORT_FLEET_CONTROL_DUTY_H_
#define SHALLOTPORT_FLEET_CONTROL_DUTY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "fleet/control_state.h"
#include "fleet/document_acknowledgements.h"
#include "fleet/document_archive.h"
#include "fleet/document_outbox.h"
#include "fleet/document_receipts.h"
#include "fleet/fleet_host.h"
#include "fleet/group_healer.h"
#include "fleet/group_replica.h"
#include "fleet/known_state_file.h"
#include "fleet/report_filter.h"

namespace shallotport {

struct control_options {
  fleet_host_options fleet;
  std::string data_folder;
  size_t voters = 3;      // Of the control group.
  size_t job_voters = 3;  // Of the job group.
};

// A call by which an endpoint says that it leaves.
struct leave_call {
  endpoint_id endpoint;
  // The start that ends; 0: the endpoint did not name it.
  uint64_t start_time_ms = 0;
  // False once the caller has closed its connection.
  std::function<bool()> is_awaited;
  std::function<void()> on_recorded;
};

// Progress of a job store's retirement.
enum class retirement_status : uint8_t { kUnknown, kInProgress, kCompleted };

// A control host: a member of the control group, to which endpoints, operators
// and the other hosts of the fleet report. Pushes what it learns at once to
// every host that is linked to it. Runs on one event loop.
class control_duty {
 public:
  using document_reply =
      std::function<void(result<configuration_document> document)>;
  using status_reply = std::function<void(status outcome)>;

  static result<std::unique_ptr<control_duty>> Create(
      boost::asio::io_context& loop,
      const clock_source& clock,
      control_options options);

  status Start();
  void Tick(steady_time now);
  void Stop(std::function<void()> done);

  // Succeeds once the document, or one that is no older, is committed and in
  // force on all linked hosts, or a moment later. kNotLeader: another control
  // host must be asked. kNoQuorum: it may still be committed.
  void PutDocument(configuration_document document, status_reply reply);
  // Returns the newest document, or kNotLeader.
  void ReadDocument(document_reply reply);
  // Applies a report that an endpoint sent to this host; it is pushed before
  // this returns. kInvalidRequest: no endpoint can say this of itself, or it
  // would have started in the future; later reports of the endpoint would be
  // taken for older ones.
  status ReportEndpoint(const endpoint_report& report);
  // Records that an endpoint leaves. A call that names no start means the one
  // that makes it: it counts only if its caller still awaits the outcome a
  // moment later. Otherwise it is an old one that has waited somewhere, and a
  // later start may be running by now.
  void RecordLeave(leave_call call);

  // Starts to retire a job store. kNotFound: no such host; kConflict: too few
  // job stores would remain.
  void Retire(const std::string& host_name, status_reply reply);
  retirement_status RetirementStatus(const std::string& host_name) const;

  // The operator address of the group's leader; empty if unknown.
  std::string LeaderAddress() const;
  bool IsLeading() const { return group_->IsLeading(); }
  bool is_failed() const { return group_->is_failed(); }
  sync_totals syncs() const { return group_->syncs(); }
  // Calls of RecordLeave() whose callers had gone.
  uint64_t passed_over_leaves() const { return passed_over_leaves_; }
  const document_acknowledgements& acknowledgements() const {
    return acknowledgements_;
  }
  // Which linked hosts have the newest configuration.
  const document_receipts& receipts() const { return receipts_; }
  fleet_host& fleet() { return *fleet_; }
  const fleet_host& fleet() const { return *fleet_; }
  const control_state& state() const { return state_; }

 private:
  control_duty(boost::asio::io_context& loop,
               const clock_source& clock,
               control_options options);

  status Open();
  void OnAnnouncement(host_link& link, std::string_view payload);
  void OnJobMembers(std::string_view payload);
  void OnReceipt(host_link& link, std::string_view payload);
  void OnLinkDown(host_link& link);
  void PutDocumentInForce();
  // Once the linked hosts have the version in force.
  void Acknowledge(uint64_t version, status_reply reply);
  void PushDocument();
  void SendDocument(host_link& link, const document_outbox::decision& decision);
  void PushDirectory();
  void PushToAll(fleet_frame kind, std::string_view payload);
  void HealGroup(steady_time now);
  void FoundJobGroup(steady_time now);
  void ApplyAndPass(const endpoint_report& report);
  void RecordAwaitedLeaves(steady_time now);
  void LogHostsBehind(steady_time now);
  // `leave_time_ms`: of a leave that names no start, otherwise 0.
  void EndStart(const endpoint_id& endpoint,
                uint64_t start_time_ms,
                uint64_t leave_time_ms);
  std::string EncodeDirectory(steady_time now) const;
  void LoadKnownState();
  void SaveKnownEndpoints();
  void SaveKnownDocument();
  void LogSaved(const status& saved) const;

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const control_options options_;
  control_state state_;
  std::unique_ptr<fleet_host> fleet_;
  std::unique_ptr<group_replica> group_;
  group_healer healer_;
  known_state_file known_file_;
  document_archive documents_;
  std::map<const host_link*, document_outbox> outboxes_;  // Of accepted links.
  document_receipts receipts_;
  document_acknowledgements acknowledgements_;
  bool are_hosts_late_ = false;
  bool is_push_scheduled_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  bool is_known_state_dirty_ = false;  // Of the endpoints.
  uint64_t saved_document_version_ = 0;
  std::map<endpoint_id, endpoint_stage> saved_stages_;
  report_filter report_filter_;
  struct pending_leave {
    leave_call call;
    uint64_t leave_time_ms = 0;  // When the call was read.
    steady_time due_at{};
  };
  std::deque<pending_leave> pending_leaves_;  // In order of arrival.
  uint64_t passed_over_leaves_ = 0;
  steady_time next_known_save_{};
  steady_time next_directory_{};
  steady_time next_healing_{};
  steady_time stores_available_since_{};  // When the first job store was seen.
  bool is_founding_ = false;
  bool is_healing_ = false;
  bool needs_directory_push_ = false;

  job_group_members job_members_;  // As its leader last reported them.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_CONTROL_DUTY_H_
