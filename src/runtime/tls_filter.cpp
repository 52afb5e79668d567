#include "runtime/tls_filter.h"

#include "runtime/log.h"

#include <openssl/bio.h>
#include <openssl/err.h>

#include <array>
#include <new>

namespace caraway {

namespace {

// Bytes passed to OpenSSL at once: its buffers keep the largest size that they had.
constexpr std::size_t kPartBytes = std::size_t{ 8 } << 10;
// Session and handshake state, and the buffers of one record in each direction.
constexpr std::size_t kMaxFilterBytes = std::size_t{ 80 } << 10;

void DrainBio(BIO* aBio, std::string& aOutput)
{
  char* data = nullptr;
  const long size = BIO_get_mem_data(aBio, &data);
  if (size > 0) {
    aOutput.append(data, static_cast<std::size_t>(size));
    BIO_reset(aBio);
  }
}

class TlsFilter final : public WireFilter
{
public:
  explicit TlsFilter(SSL_CTX* aContext)
    : ssl(SSL_new(aContext))
  {
    BIO* input = BIO_new(BIO_s_mem());
    BIO* output = BIO_new(BIO_s_mem());
    if (this->ssl == nullptr || input == nullptr || output == nullptr) {
      throw std::bad_alloc();
    }
    SSL_set_bio(this->ssl.get(), input, output);
    SSL_set_accept_state(this->ssl.get());
  }

  bool Decode(std::string_view aWire, std::string& aInput, std::string& aOutput) override
  {
    while (!aWire.empty() && !this->hasFailed) {
      const std::string_view part = TakePart(aWire);
      const int size = static_cast<int>(part.size());
      if (BIO_write(SSL_get_rbio(this->ssl.get()), part.data(), size) != size) {
        this->hasFailed = true;
        break;
      }
      this->ReadPlain(aInput);
      DrainBio(SSL_get_wbio(this->ssl.get()), aOutput);
    }
    return !this->hasFailed;
  }

  bool Encode(std::string_view aData, std::string& aOutput) override
  {
    if (this->hasFailed || SSL_is_init_finished(this->ssl.get()) == 0) {
      return false;
    }
    ERR_clear_error();
    while (!aData.empty()) {
      const std::string_view part = TakePart(aData);
      if (SSL_write(this->ssl.get(), part.data(), static_cast<int>(part.size())) <= 0) {
        this->hasFailed = true;
        return false;
      }
      DrainBio(SSL_get_wbio(this->ssl.get()), aOutput);
    }
    return true;
  }

  void Finish(std::string& aOutput) override
  {
    if (!this->hasFailed && SSL_is_init_finished(this->ssl.get()) != 0) {
      ERR_clear_error();
      SSL_shutdown(this->ssl.get());
      DrainBio(SSL_get_wbio(this->ssl.get()), aOutput);
    }
  }

private:
  static std::string_view TakePart(std::string_view& aRest)
  {
    const std::string_view part = aRest.substr(0, kPartBytes);
    aRest.remove_prefix(part.size());
    return part;
  }

  void ReadPlain(std::string& aInput)
  {
    std::array<char, kPartBytes> buffer;
    ERR_clear_error();
    int count = 0;
    while ((count = SSL_read(this->ssl.get(), buffer.data(), buffer.size())) > 0) {
      aInput.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const int error = SSL_get_error(this->ssl.get(), count);
    // After the caller's closing message, the end of its connection follows.
    this->hasFailed = error != SSL_ERROR_WANT_READ && error != SSL_ERROR_ZERO_RETURN;
  }

  struct SslFree
  {
    void operator()(SSL* aSsl) const { SSL_free(aSsl); }
  };
  std::unique_ptr<SSL, SslFree> ssl; // owns its buffers for both directions
  bool hasFailed = false;
};

std::error_code LogError(const char* aStep)
{
  std::array<char, 256> text{};
  ERR_error_string_n(ERR_get_error(), text.data(), text.size());
  LogEvent(LogLevel::kError, "tls_failed", { { "step", aStep }, { "cause", text.data() } });
  return std::make_error_code(std::errc::invalid_argument);
}

} // namespace

TlsFilterFactory::TlsFilterFactory()
  : context(SSL_CTX_new(TLS_server_method()))
{
  if (this->context == nullptr) {
    throw std::bad_alloc();
  }
  SSL_CTX* raw = this->context.get();
  SSL_CTX_set_min_proto_version(raw, TLS1_2_VERSION);
  SSL_CTX_set_options(raw, SSL_OP_NO_RENEGOTIATION | SSL_OP_CIPHER_SERVER_PREFERENCE);
  SSL_CTX_set_mode(raw, SSL_MODE_RELEASE_BUFFERS);
  SSL_CTX_set_session_cache_mode(raw, SSL_SESS_CACHE_OFF);
}

std::error_code TlsFilterFactory::Load(const TlsFiles& aFiles)
{
  SSL_CTX* raw = this->context.get();
  ERR_clear_error();
  if (SSL_CTX_use_certificate_chain_file(raw, aFiles.certificateFile.c_str()) != 1) {
    return LogError("certificate");
  }
  if (SSL_CTX_use_PrivateKey_file(raw, aFiles.keyFile.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(raw) != 1) {
    return LogError("key");
  }
  return {};
}

std::unique_ptr<WireFilter> TlsFilterFactory::Make()
{
  return std::make_unique<TlsFilter>(this->context.get());
}

std::size_t TlsFilterFactory::MaxBytes() const
{
  return kMaxFilterBytes;
}

} // namespace caraway
