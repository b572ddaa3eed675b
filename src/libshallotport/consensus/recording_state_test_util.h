#ifndef SHALLOTPORT_CONSENSUS_RECORDING_STATE_TEST_UTIL_H_
#define SHALLOTPORT_CONSENSUS_RECORDING_STATE_TEST_UTIL_H_

#include <istream>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/replicated_state.h"

namespace shallotport {

// A replicated state for tests that keeps the applied commands. Replies to
// commands and queries are the number of commands so far.
class recording_state final : public replicated_state {
 public:
  std::string Apply(const apply_context& context,
                    std::string_view command) override {
    is_time_monotonic_ =
        is_time_monotonic_ && context.leader_time >= last_time_;
    last_time_ = context.leader_time;
    commands_.emplace_back(command);
    return std::to_string(commands_.size());
  }

  std::string Query(std::string_view) const override {
    return std::to_string(commands_.size());
  }

  std::unique_ptr<snapshot_writer> BeginSnapshot() const override {
    return std::make_unique<writer>(commands_);
  }

  status LoadSnapshot(std::istream& in) override {
    commands_.clear();
    for (std::string line; std::getline(in, line);) {
      commands_.push_back(line);
    }
    return success{};
  }

  const std::vector<std::string>& commands() const { return commands_; }
  bool is_time_monotonic() const { return is_time_monotonic_; }

 private:
  class writer final : public snapshot_writer {
   public:
    explicit writer(std::vector<std::string> commands)
        : commands_(std::move(commands)) {}
    status Write(std::ostream& out) override {
      for (const std::string& command : commands_) {
        out << command << '\n';
      }
      return success{};
    }

   private:
    const std::vector<std::string> commands_;
  };

  std::vector<std::string> commands_;
  wall_milliseconds last_time_ = 0;
  bool is_time_monotonic_ = true;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_RECORDING_STATE_TEST_UTIL_H_
