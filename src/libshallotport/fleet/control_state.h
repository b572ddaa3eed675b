#ifndef SHALLOTPORT_FLEET_CONTROL_STATE_H_
#define SHALLOTPORT_FLEET_CONTROL_STATE_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "consensus/replicated_state.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

enum class control_command_kind : uint8_t {
  kPutDocument = 1,
  kFoundJobGroup = 2,
  kRetireHost = 3,
};

// One command of the control group's log; each kind uses its own fields.
struct control_command {
  control_command_kind kind = control_command_kind::kPutDocument;
  configuration_document document;
  std::vector<host_id> founders;
  std::string host_name;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, document, founders, host_name);
  }
};

std::string EncodeControlCommand(const control_command& command);

// The state replicated by the control group: the newest configuration, the
// founding members of the job group, and the job stores that are being retired.
class control_state final : public replicated_state {
 public:
  // Called after each change, also while a restart replays the log.
  std::function<void()> on_changed;

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  // Returns the encoded configuration_document for every query.
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  const configuration_document& document() const { return contents_.document; }
  const std::vector<host_id>& job_founders() const {
    return contents_.job_founders;
  }
  const std::set<std::string>& retiring() const { return contents_.retiring; }

 private:
  struct replicated_contents {
    configuration_document document;
    std::vector<host_id> job_founders;
    std::set<std::string> retiring;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(document, job_founders, retiring);
    }
  };

  replicated_contents contents_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_CONTROL_STATE_H_
