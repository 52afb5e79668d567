// TLS of accepted connections, with OpenSSL.
#pragma once

#include "runtime/settings.h"
#include "runtime/wire_filter.h"

#include <openssl/ssl.h>

#include <memory>
#include <system_error>

namespace caraway {

// Certificate and key of a listener. Every connection gets a filter of its own; the handshake needs
// no thread, so that callers that do not finish it delay no others.
class TlsFilterFactory final : public WireFilterFactory
{
public:
  TlsFilterFactory();

  // Reads the files; without success, no filter may be made.
  std::error_code Load(const TlsFiles& aFiles);

  std::unique_ptr<WireFilter> Make() override;
  std::size_t MaxBytes() const override;

private:
  struct ContextFree
  {
    void operator()(SSL_CTX* aContext) const { SSL_CTX_free(aContext); }
  };
  std::unique_ptr<SSL_CTX, ContextFree> context;
};

} // namespace caraway
