#ifndef SHALLOTPORT_JOBSTORE_SHARED_TEXT_H_
#define SHALLOTPORT_JOBSTORE_SHARED_TEXT_H_

#include <memory>
#include <string>
#include <utility>

namespace shallotport {

// An immutable string that copies share, so that copying the state for a
// snapshot does not copy many megabytes of result texts.
class shared_text {
 public:
  shared_text() = default;
  // Implicit, to be used in place of a string.
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
