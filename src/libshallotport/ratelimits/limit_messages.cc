#include "ratelimits/limit_messages.h"

#include <cmath>
#include <utility>

#include "base/codec.h"

namespace shallotport {

namespace {

struct limit_frame {
  std::vector<std::string> records;  // Encoded.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(records);
  }
};

}  // namespace

std::string EncodeLimits(const std::vector<limit_record>& records) {
  limit_frame frame;
  frame.records.reserve(records.size());
  for (const limit_record& each : records) {
    frame.records.push_back(Encode(each));
  }
  return Encode(frame);
}

result<std::vector<limit_record>> DecodeLimits(std::string_view bytes) {
  const auto frame = DecodeGrowing<limit_frame>(bytes);
  if (!IsOk(frame)) {
    return ErrorOf(frame);
  }
  std::vector<limit_record> records;
  for (const std::string& each : ValueOf(frame).records) {
    auto record = DecodeGrowing<limit_record>(each);
    if (!IsOk(record)) {
      return ErrorOf(record);
    }
    const double limit = ValueOf(record).per_second;
    if (!std::isfinite(limit) || limit < 0) {
      return MakeError(error_kind::kCorrupt, "a limit that is no number");
    }
    records.push_back(std::move(ValueOf(record)));
  }
  return records;
}

}  // namespace shallotport
