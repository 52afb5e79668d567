// Framing of requests and answers: a message whose length cannot be determined must be rejected,
// since its body would otherwise be read as the next message on the connection.
#include "runtime/http_reader.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace caraway {

namespace {

constexpr std::uint32_t kMaxHeadBytes = 4096;
constexpr std::uint64_t kMaxBodyBytes = 1 << 20;
const std::string kHidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

// Reads one request whose head has aFields, followed by aBody, in one piece or byte by byte.
ReadState ReadRequest(RequestReader& aReader, const std::string& aFields, const std::string& aBody,
                      bool aIsByteByByte)
{
  const std::string bytes = "POST /x HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n" + aBody;
  std::string input;
  ReadState state = ReadState::kMore;
  const std::size_t step = aIsByteByByte ? 1 : bytes.size();
  for (std::size_t at = 0; at < bytes.size() && state == ReadState::kMore; at += step) {
    input += bytes.substr(at, step);
    state = aReader.Read(input);
  }
  return state;
}

ReadState ReadRequest(const std::string& aFields, const std::string& aBody, bool aIsByteByByte)
{
  RequestReader reader(kMaxHeadBytes, kMaxBodyBytes);
  return ReadRequest(reader, aFields, aBody, aIsByteByByte);
}

std::string Chunked(const std::string& aText, const std::string& aTrailer = "")
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", aText.size());
  return std::string(size) + "\r\n" + aText + "\r\n0\r\n" + aTrailer + "\r\n";
}

const std::vector<std::string> kUnknownLengths = {
  "Transfer-Encoding: chunked, identity\r\n",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: gzip\r\n",
  "Transfer-Encoding: xchunked\r\n",
  "Transfer-Encoding: chunkedx\r\n",
  "Transfer-Encoding: chunked, trailers\r\n",
  "Transfer-Encoding: chunked , chunked\r\n",
  "Transfer-Encoding: chunked;q=1\r\n",
  "Transfer-Encoding: \"chunked\"\r\n",
  "Transfer-Encoding:\r\n",
  "Transfer-Encoding: ,\r\n",
  "transfer-encoding: CHUNKED, x\r\n",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
  "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
  "Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
  "Content-Length: 3\r\nTransfer-Encoding: identity\r\n",
  "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
  "Content-Length: 3\r\nContent-Length: 4\r\n",
  "Content-Length: 3, 4\r\n",
  "Content-Length: +3\r\n",
  "Content-Length: 0x3\r\n",
  "Content-Length:\r\n",
  "Content-Length : 3\r\n",
  "Transfer-Encoding : chunked\r\n",
};

const std::vector<std::string> kAmbiguousLengths = {
  "Content-Length: 0, 0\r\n",
  "Content-Length: 0,0\r\n",
  "Content-Length: 0,\r\n",
  "Content-Length: ,0\r\n",
  "Content-Length: 0, 0, 0\r\n",
  "Content-Length: 3, 3\r\n",
  "Content-Length: 0, 3\r\n",
  "Content-Length: 0\r\nContent-Length: 0\r\n",
  "Content-Length: 3\r\ncontent-length: 3\r\n",
  "Content-Length: 0\r\nContent-Length: 0, 0\r\n",
  "Content-Length: 0\r\nContent-Length:\r\n",
  "Content-Length: 0 0\r\n",
  "Content-Length: 0;x\r\n",
  "Content-Length: \"0\"\r\n",
  "Content-Length: -0\r\n",
  "Content-Length: +0\r\n",
  "Content-Length: 0x0\r\n",
  "Content-Length: 0.0\r\n",
  "Content-Length: 0e0\r\n",
  "Content-Length: 18446744073709551616\r\n",
  "Content-Length: 100000000000000000000000000000000\r\n",
  "Content-Length: \r\n",
  "Content-Length: 0\v\r\n",
  std::string("Content-Length: 0\0\r\n", 20),
  std::string("Content-Length\0: 0\r\n", 20),
  "Content-Length: 0\rx\r\n",
  "Content-Length: 0\nX: y\r\n",
  "X: y\nContent-Length: 0\r\n",
  "Content-Length\t: 0\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_reader)

// A list of equal lengths was read as one length, and what follows it as the next request.
BOOST_DATA_TEST_CASE(a_length_that_others_may_read_differently_is_rejected, kAmbiguousLengths)
{
  for (const bool isByteByByte : { false, true }) {
    BOOST_TEST((ReadRequest(sample, kHidden, isByteByByte) == ReadState::kMalformed));
  }
}

BOOST_DATA_TEST_CASE(an_answer_with_a_length_that_others_may_read_differently_is_rejected,
                     kAmbiguousLengths)
{
  ResponseReader reader(false, kMaxBodyBytes);
  std::string input = "HTTP/1.1 200 OK\r\nServer: x\r\n" + sample + "\r\nbody";
  BOOST_TEST((reader.Read(input) == ReadState::kMalformed));
}

// A transfer coding other than a single "chunked" was taken for an empty body, so that the body's
// text ran as a request of its own.
BOOST_DATA_TEST_CASE(a_body_of_unknown_length_is_rejected, kUnknownLengths)
{
  for (const bool isByteByByte : { false, true }) {
    BOOST_TEST((ReadRequest(sample, kHidden, isByteByByte) == ReadState::kMalformed));
    BOOST_TEST((ReadRequest(sample, Chunked(kHidden), isByteByByte) == ReadState::kMalformed));
  }
}

// A folded line is one field here and two lines for others, which may read a length in it.
BOOST_AUTO_TEST_CASE(a_folded_line_in_a_request_is_rejected)
{
  for (const std::string fields :
       { " Content-Length: 0\r\n", "X: y\r\n Content-Length: 0\r\n",
         "X: y\r\n\tContent-Length: 0\r\n", "Content-Length:\r\n 0\r\n", "X: y\r\n \r\n",
         "Transfer-Encoding:\r\n chunked\r\n", "X:\r\n\t\r\n" }) {
    for (const bool isByteByByte : { false, true }) {
      BOOST_TEST((ReadRequest(fields, kHidden, isByteByByte) == ReadState::kMalformed), fields);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_body_may_look_like_a_folded_line)
{
  for (const bool isByteByByte : { false, true }) {
    RequestReader reader(kMaxHeadBytes, kMaxBodyBytes);
    BOOST_TEST((ReadRequest(reader, "Content-Length: 8\r\n", "a\r\n b\r\n\t", isByteByByte) ==
                ReadState::kDone));
    BOOST_TEST(reader.Body() == "a\r\n b\r\n\t");
  }
}

// A chunk whose line others may read differently.
BOOST_AUTO_TEST_CASE(a_malformed_chunk_is_rejected)
{
  for (const std::string body :
       { "0x1\r\nx\r\n0\r\n\r\n", "+1\r\nx\r\n0\r\n\r\n", "-1\r\nx\r\n0\r\n\r\n",
         " 1\r\nx\r\n0\r\n\r\n", "1 \r\nx\r\n0\r\n\r\n", "\r\nx\r\n0\r\n\r\n",
         "g\r\nx\r\n0\r\n\r\n", "1\nx\r\n0\r\n\r\n", "1\r\nxy\r\n0\r\n\r\n", "1\r\nx\n0\r\n\r\n",
         "10000000000000000\r\nx\r\n0\r\n\r\n", "1;\r\nx\r\n0\r\n\r\n",
         "1;a=\"\n\"\r\nx\r\n0\r\n\r\n", "1;a=\"\x01\"\r\nx\r\n0\r\n\r\n",
         "1;a\n\r\nx\r\n0\r\n\r\n", "0;a=\"\n\"\r\n\r\n", "0\r\nContent-Length: 3\r\n\r\n",
         "0\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\nX: y\nZ: z\r\n\r\n" }) {
    for (const bool isByteByByte : { false, true }) {
      BOOST_TEST((ReadRequest("Transfer-Encoding: chunked\r\n", body, isByteByByte) ==
                  ReadState::kMalformed),
                 body);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_is_rejected)
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    ResponseReader reader(false, kMaxBodyBytes);
    std::string input = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
    BOOST_TEST((reader.Read(input) == ReadState::kMalformed), status);
  }
}

// A coding that is not decoded here would be dropped with its field, which changes the body.
BOOST_AUTO_TEST_CASE(a_body_with_a_second_coding_is_rejected)
{
  for (const char* fields : { "Transfer-Encoding: gzip, chunked\r\n",
                              "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" }) {
    BOOST_TEST((ReadRequest(fields, Chunked("x"), false) == ReadState::kMalformed));
    BOOST_TEST((ReadRequest(fields, Chunked("x"), true) == ReadState::kMalformed));
  }
}

// HTTP/1.0 has no transfer codings, so another server may read the body differently.
BOOST_AUTO_TEST_CASE(a_coding_in_http_1_0_is_rejected)
{
  RequestReader reader(kMaxHeadBytes, kMaxBodyBytes);
  std::string input =
    "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunked("x");
  BOOST_TEST((reader.Read(input) == ReadState::kMalformed));
}

BOOST_AUTO_TEST_CASE(a_body_in_chunks_is_read)
{
  for (const char* fields :
       { "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: \t Chunked \r\n",
         "transfer-encoding:CHUNKED\r\n" }) {
    for (const bool isByteByByte : { false, true }) {
      RequestReader reader(kMaxHeadBytes, kMaxBodyBytes);
      BOOST_TEST((ReadRequest(reader, fields, Chunked(kHidden), isByteByByte) == ReadState::kDone));
      BOOST_TEST(reader.Body() == kHidden);
    }
  }
}

// Fields of a trailer were added to those of the head, where they replaced the account's key or the
// number of tokens that the request counts for.
BOOST_AUTO_TEST_CASE(a_trailer_adds_no_fields_to_the_head)
{
  for (const bool isByteByByte : { false, true }) {
    RequestReader reader(kMaxHeadBytes, kMaxBodyBytes);
    const std::string body = Chunked("x", "Authorization: Bearer k\r\nModel: m\r\n");
    BOOST_TEST((ReadRequest(reader, "Transfer-Encoding: chunked\r\n", body, isByteByByte) ==
                ReadState::kDone));
    BOOST_TEST(reader.Body() == "x");
    BOOST_TEST(reader.Head().fields.size() == 2U);
    BOOST_TEST(!FindField(reader.Head().fields, "Authorization").has_value());
    BOOST_TEST(!FindField(reader.Head().fields, "Model").has_value());
  }
}

// The caller waits for "100 Continue" before it sends its body.
BOOST_AUTO_TEST_CASE(the_head_is_known_before_the_body)
{
  RequestReader reader(kMaxHeadBytes, kMaxBodyBytes);
  BOOST_TEST((ReadRequest(reader, "Content-Length: 3\r\nExpect: 100-continue\r\n", "", false) ==
              ReadState::kMore));
  BOOST_TEST(FindField(reader.Head().fields, "Expect").has_value());
}

// The same in an answer: its body would reach the caller with another coding or length.
BOOST_DATA_TEST_CASE(an_answer_of_unknown_coding_is_rejected,
                     std::vector<std::string>({ "chunked, identity", "gzip, chunked", "identity",
                                                "chunked , chunked", "xchunked" }))
{
  ResponseReader reader(false, kMaxBodyBytes);
  std::string input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + sample + "\r\n\r\n" + Chunked("x");
  BOOST_TEST((reader.Read(input) == ReadState::kMalformed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
