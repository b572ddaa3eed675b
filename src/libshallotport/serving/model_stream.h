#ifndef SHALLOTPORT_SERVING_MODEL_STREAM_H_
#define SHALLOTPORT_SERVING_MODEL_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotport {

// One event of a runner's stream.
struct model_event {
  enum class kind : uint8_t { kToken, kDone, kForeign, kMalformed };
  kind what = kind::kToken;
  std::string text;  // The token's text.
};

// Cuts a server-sent event stream of completion chunks into tokens. A chunk
// whose id is not `attempt` belongs to another call.
class model_stream_reader {
 public:
  explicit model_stream_reader(std::string attempt)
      : attempt_(std::move(attempt)) {}

  // The events that `bytes` complete. After kDone, kForeign or kMalformed
  // nothing more is read.
  std::vector<model_event> AddBytes(std::string_view bytes);

 private:
  std::optional<model_event> ReadLine(std::string_view line);

  std::string attempt_;
  std::string rest_;
  bool is_ended_ = false;
};

// Writes the tokens of one answer as the caller sees them, under the caller's
// own request id.
class model_stream_writer {
 public:
  model_stream_writer(std::string request, std::string model, bool is_chat);

  std::string Token(std::string_view text) const;
  std::string End() const;
  // The last event of a stream that failed; no end marker follows.
  static std::string Failure(std::string_view error_body);

 private:
  std::string request_;
  std::string model_;
  bool is_chat_;
};

// Replaces the "id" of a whole completion by `request`. Nothing when `body` is
// no JSON object, or its id is not `attempt`.
std::optional<std::string> ReplaceAnswerId(std::string_view body,
                                           std::string_view attempt,
                                           std::string_view request);

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_MODEL_STREAM_H_
