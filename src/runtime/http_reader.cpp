#include "runtime/http_reader.h"

#include "runtime/framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>

namespace caraway {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::uint32_t kMaxResponseHeadBytes = 64 * 1024; // bytes
constexpr int kHttp11 = 11;                                // as the parser reports it
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

std::string_view ToStdView(string_view aView)
{
  return { aView.data(), aView.size() };
}

std::string ToStdString(string_view aView)
{
  return std::string(aView.data(), aView.size());
}

ReadState ToReadState(const error_code& aError)
{
  if (aError == http::error::header_limit) {
    return ReadState::kHeadTooBig;
  }
  return aError == http::error::body_limit ? ReadState::kBodyTooBig : ReadState::kMalformed;
}

// Whether the unread part of a head has a folded line. The parser replaces the fold by a space;
// others may end the field before it (RFC 9112, section 5.2).
bool HasFoldedLine(std::string_view aInput)
{
  const std::string_view head =
    aInput.substr(0, aInput.starts_with("\r\n") ? 0 : aInput.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

bool HasControl(string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return (aByte < ' ' && aByte != '\t') || aByte == 0x7F;
  });
}

// Feeds a parser from the front of aInput until it is done, needs more bytes or fails.
// aMaxLineBytes: limit of an incomplete line, as the parser does not limit chunk extensions.
template<class Parser>
ReadState Feed(Parser& aParser, std::string& aInput, std::size_t aMaxLineBytes)
{
  std::size_t consumed = 0;
  ReadState state = ReadState::kMore;
  while (true) {
    if (aParser.is_done()) {
      state = ReadState::kDone;
      break;
    }
    if (consumed == aInput.size()) {
      break;
    }
    error_code error;
    consumed +=
      aParser.put(boost::asio::buffer(aInput.data() + consumed, aInput.size() - consumed), error);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      state = ToReadState(error);
      break;
    }
  }
  aInput.erase(0, consumed);
  return state == ReadState::kMore && aInput.size() > aMaxLineBytes ? ReadState::kHeadTooBig
                                                                    : state;
}

// Collects the parts common to requests and responses.
template<bool kIsRequest, class Head>
class Collector : public http::basic_parser<kIsRequest>
{
public:
  Head head;
  std::string body;
  std::optional<std::uint64_t> length;

protected:
  bool isHttp11 = false;
  bool isHeadComplete = false;

  // Called for the head and for a trailer. A trailer's fields must not be merged into the head (RFC
  // 9110, section 6.5.1), and none of them has a meaning here.
  void on_field_impl(http::field, string_view aName, string_view aValue, error_code&) override
  {
    if (!this->isHeadComplete) {
      this->head.fields.push_back({ ToStdView(aName), ToStdView(aValue) });
    }
  }
  void on_header_impl(error_code& aError) override
  {
    this->isHeadComplete = true;
    this->head.fields.Shrink();
    if (!IsFramingUnambiguous(this->head.fields, this->isHttp11)) {
      aError = http::error::bad_content_length;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength, error_code&) override
  {
    if (aLength) {
      this->length = *aLength;
    }
  }
  std::size_t on_body_impl(string_view aData, error_code&) override
  {
    this->body.append(aData.data(), aData.size());
    return aData.size();
  }
  // The parser accepts any byte in a quoted value, also a bare LF, which others take for the end of
  // the line.
  void on_chunk_header_impl(std::uint64_t, string_view aExtension, error_code& aError) override
  {
    if (HasControl(aExtension)) {
      aError = http::error::bad_chunk_extension;
    }
  }
  std::size_t on_chunk_body_impl(std::uint64_t, string_view aData, error_code&) override
  {
    this->body.append(aData.data(), aData.size());
    return aData.size();
  }
  void on_finish_impl(error_code&) override {}
};

class RequestCollector final : public Collector<true, RequestHead>
{
  void on_request_impl(http::verb, string_view aMethod, string_view aTarget, int aVersion,
                       error_code&) override
  {
    this->isHttp11 = aVersion == kHttp11;
    this->head.isHttp11 = this->isHttp11;
    this->head.method = ToStdString(aMethod);
    this->head.target = ToStdString(aTarget);
  }
  void on_response_impl(int, string_view, int, error_code&) override {}
};

class ResponseCollector final : public Collector<false, ResponseHead>
{
  void on_request_impl(http::verb, string_view, string_view, int, error_code&) override {}
  void on_response_impl(int aStatus, string_view aReason, int aVersion, error_code& aError) override
  {
    if (aStatus < kFirstStatus || aStatus > kLastStatus) {
      aError = http::error::bad_status;
      return;
    }
    this->isHttp11 = aVersion == kHttp11;
    this->head.status = static_cast<std::uint16_t>(aStatus);
    this->head.reason = ToStdString(aReason);
  }
};

} // namespace

struct RequestReader::Impl
{
  RequestCollector collector;
  std::uint32_t maxHeadBytes = 0;
};

RequestReader::RequestReader(std::uint32_t aMaxHeadBytes, std::uint64_t aMaxBodyBytes)
  : impl(std::make_unique<Impl>())
{
  this->impl->maxHeadBytes = aMaxHeadBytes;
  this->impl->collector.header_limit(aMaxHeadBytes);
  this->impl->collector.body_limit(aMaxBodyBytes);
}

RequestReader::~RequestReader() = default;

ReadState RequestReader::Read(std::string& aInput)
{
  if (!this->IsHeadDone() && HasFoldedLine(aInput)) {
    return ReadState::kMalformed;
  }
  if (HeaderFields& fields = this->Head().fields; fields.empty() && !this->IsHeadDone()) {
    fields.Reserve(std::min<std::size_t>(aInput.size(), this->impl->maxHeadBytes));
  }
  return Feed(this->impl->collector, aInput, this->impl->maxHeadBytes);
}

bool RequestReader::IsHeadDone() const
{
  return this->impl->collector.is_header_done();
}

bool RequestReader::KeepsAlive() const
{
  return this->impl->collector.keep_alive();
}

RequestHead& RequestReader::Head()
{
  return this->impl->collector.head;
}

std::string& RequestReader::Body()
{
  return this->impl->collector.body;
}

struct ResponseReader::Impl
{
  ResponseCollector collector;
};

ResponseReader::ResponseReader(bool aIsHeadRequest, std::uint64_t aMaxBodyBytes)
  : impl(std::make_unique<Impl>())
{
  this->impl->collector.header_limit(kMaxResponseHeadBytes);
  this->impl->collector.body_limit(aMaxBodyBytes);
  this->impl->collector.skip(aIsHeadRequest);
}

ResponseReader::~ResponseReader() = default;

ReadState ResponseReader::Read(std::string& aInput)
{
  const ReadState state = Feed(this->impl->collector, aInput, kMaxResponseHeadBytes);
  this->impl->collector.head.length = this->impl->collector.length;
  return state;
}

ReadState ResponseReader::OnEndOfInput()
{
  ResponseCollector& collector = this->impl->collector;
  if (collector.is_header_done() && collector.need_eof()) {
    error_code error;
    collector.put_eof(error);
  }
  return collector.is_done() ? ReadState::kDone : ReadState::kMore;
}

bool ResponseReader::IsHeadDone() const
{
  return this->impl->collector.is_header_done();
}

bool ResponseReader::KeepsAlive() const
{
  return this->impl->collector.is_done() && this->impl->collector.keep_alive();
}

const ResponseHead& ResponseReader::Head() const
{
  return this->impl->collector.head;
}

std::string& ResponseReader::Body()
{
  return this->impl->collector.body;
}

} // namespace caraway
