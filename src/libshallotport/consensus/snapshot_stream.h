#ifndef SHALLOTPORT_CONSENSUS_SNAPSHOT_STREAM_H_
#define SHALLOTPORT_CONSENSUS_SNAPSHOT_STREAM_H_

#include <cstdint>
#include <streambuf>
#include <string>

#include "base/result.h"
#include "storage/snapshot_file_reader.h"

namespace shallotport {

class snapshot_file_writer;

// Cuts what is written to a stream into records of one kind.
class snapshot_output_buffer final : public std::streambuf {
 public:
  snapshot_output_buffer(snapshot_file_writer& file, uint8_t kind);

  // Writes the rest and tells whether everything was written.
  status Finish();

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* bytes, std::streamsize count) override;

 private:
  bool Flush();

  snapshot_file_writer& file_;
  const uint8_t kind_;
  std::string pending_;
  status outcome_ = success{};
};

// Joins the records of one kind that follow each other into a stream.
class snapshot_input_buffer final : public std::streambuf {
 public:
  snapshot_input_buffer(snapshot_file_reader& reader, uint8_t kind);

  // The first record of another kind; skips what was not read of the stream.
  result<snapshot_record> TakeFollowing();

 protected:
  int_type underflow() override;

 private:
  snapshot_file_reader& reader_;
  const uint8_t kind_;
  result<snapshot_record> current_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONSENSUS_SNAPSHOT_STREAM_H_
