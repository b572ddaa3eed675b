#include "fleet/control_state.h"

#include <istream>
#include <iterator>
#include <ostream>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

class text_snapshot final : public snapshot_writer {
 public:
  explicit text_snapshot(std::string text) : text_(std::move(text)) {}
  status Write(std::ostream& out) override {
    out << text_;
    return success{};
  }

 private:
  const std::string text_;
};

}  // namespace

std::string EncodeControlCommand(const control_command& command) {
  return Encode(command);
}

std::string control_state::Apply(const apply_context&,
                                 std::string_view command) {
  auto decoded = Decode<control_command>(command);
  if (!IsOk(decoded)) {
    return {};  // A malformed command changes nothing.
  }
  control_command& parsed = ValueOf(decoded);
  bool is_changed = false;
  switch (parsed.kind) {
    case control_command_kind::kPutDocument:
      is_changed = parsed.document.version > contents_.document.version ||
                   contents_.document.bytes.empty();
      if (is_changed) {
        contents_.document = std::move(parsed.document);
      }
      break;
    case control_command_kind::kFoundJobGroup:
      // The group is founded only once; a second proposal, from another leader,
      // is ignored.
      is_changed = contents_.job_founders.empty();
      if (is_changed) {
        contents_.job_founders = std::move(parsed.founders);
      }
      break;
    case control_command_kind::kRetireHost:
      is_changed = contents_.retiring.insert(parsed.host_name).second;
      break;
  }
  if (is_changed && on_changed) {
    on_changed();
  }
  return {};
}

std::string control_state::Query(std::string_view) const {
  return Encode(contents_.document);
}

std::unique_ptr<snapshot_writer> control_state::BeginSnapshot() const {
  return std::make_unique<text_snapshot>(Encode(contents_));
}

status control_state::LoadSnapshot(std::istream& in) {
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  auto decoded = Decode<replicated_contents>(text);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  contents_ = std::move(ValueOf(decoded));
  if (on_changed) {
    on_changed();
  }
  return success{};
}

}  // namespace shallotport
