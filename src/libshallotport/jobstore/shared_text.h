#ifndef SHALLOTPORT_JOBSTORE_SHARED_TEXT_H_
#define SHALLOTPORT_JOBSTORE_SHARED_TEXT_H_

#include <memory>
#include <string>
#include <utility>

namespace shallotport {

// An immutable text that copies share, so that a snapshot of many megabytes of
// results costs only its structure.
class shared_text {
 public:
  shared_text() = default;
  // Implicit: it stands for the text.
  shared_text(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(text.empty()
                  ? nullptr
                  : std::make_shared<const std::string>(std::move(text))) {}

  const std::string& text() const {
    static const std::string none;
    return text_ == nullptr ? none : *text_;
  }
  void Clear() { text_.reset(); }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(text());
  }
  template <typename Archive>
  void load(Archive& archive) {
    std::string read;
    archive(read);
    *this = shared_text(std::move(read));
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_SHARED_TEXT_H_
