#include "serving/attempt_sink.h"

#include <charconv>
#include <utility>

namespace shallotport {

namespace {

constexpr int kOkStatus = 200;
constexpr int kFirstErrorStatus = 300;
constexpr size_t kMaxWholeBodyBytes = 16UL * 1024 * 1024;

duration RetryAfterOf(const std::vector<http_field>& headers) {
  const std::string_view text = FindField(headers, "Retry-After").value_or("0");
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

attempt_sink::attempt_sink(identity self,
                           std::shared_ptr<event_mailbox> mailbox)
    : self_(std::move(self)),
      mailbox_(std::move(mailbox)),
      reader_(self_.id.text()) {}

void attempt_sink::OnHead(int status, std::vector<http_field> headers) {
  status_ = status;
  has_head_ = true;
  if (status >= kFirstErrorStatus &&
      FindField(headers, kNotRunHeader).value_or("") == "1") {
    is_refusal_ = true;
    retry_after_ = RetryAfterOf(headers);
    return;
  }
  attempt_head head;
  head.attempt = self_.number;
  head.http_status = status;
  head.echoed_id = FindField(headers, kRequestIdHeader).value_or("");
  head.content_type = FindField(headers, "Content-Type").value_or("");
  is_event_stream_ = head.content_type.starts_with("text/event-stream");
  has_stated_end_ = FindField(headers, "Content-Length").has_value() ||
                    FindField(headers, "Transfer-Encoding").has_value();
  mailbox_->Push(std::move(head));
}

void attempt_sink::OnBytes(std::string_view bytes) {
  if (is_ended_ || is_refusal_) {
    return;
  }
  if (!is_event_stream_) {
    if (body_.size() + bytes.size() > kMaxWholeBodyBytes) {
      PostEnd(attempt_end_kind::kTruncated);
      return;
    }
    body_.append(bytes);
    return;
  }
  for (model_event& event : reader_.AddBytes(bytes)) {
    switch (event.what) {
      case model_event::kind::kToken:
        PostPiece(std::move(event.text));
        break;
      case model_event::kind::kDone:
        PostEnd(attempt_end_kind::kComplete);
        break;
      case model_event::kind::kForeign:
      case model_event::kind::kMalformed:
        PostEnd(attempt_end_kind::kTruncated);
        break;
    }
  }
}

void attempt_sink::OnEnd(const endpoint_call_end& end) {
  if (is_ended_) {
    return;
  }
  if (!end.is_sent) {
    PostEnd(attempt_end_kind::kNotSent);
  } else if (is_refusal_) {
    PostEnd(attempt_end_kind::kRefusedNotExecuted);
  } else if (!has_head_) {
    PostEnd(attempt_end_kind::kBroken);
  } else if (!end.is_whole || is_event_stream_ || !has_stated_end_) {
    PostEnd(attempt_end_kind::kTruncated);
  } else {
    PostWholeBody();
  }
}

void attempt_sink::PostWholeBody() {
  if (self_.is_model && status_ == kOkStatus) {
    std::optional<std::string> own =
        ReplaceAnswerId(body_, self_.id.text(), self_.request.text());
    if (!own) {
      PostEnd(attempt_end_kind::kTruncated);
      return;
    }
    body_ = *std::move(own);
  }
  PostPiece(std::move(body_));
  PostEnd(attempt_end_kind::kComplete);
}

void attempt_sink::PostEnd(attempt_end_kind kind) {
  if (std::exchange(is_ended_, true)) {
    return;
  }
  mailbox_->Push(attempt_ended{self_.number, kind, retry_after_});
}

void attempt_sink::PostPiece(std::string bytes) {
  if (is_ended_) {
    return;
  }
  if (!mailbox_->Push(
          attempt_chunk{self_.number, std::move(bytes), std::nullopt})) {
    PostEnd(attempt_end_kind::kTruncated);
  }
}

}  // namespace shallotport
