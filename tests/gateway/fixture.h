// A gateway on the loopback interface with scripted endpoints and simple callers.
#pragma once

#include "../runtime/loop.h"
#include "gateway/gateway.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace caraway::gateway {

// A minimal protocol with the header fields Id, Key, Left, Part, Proof, Not-Run, Rest,
// Rate.
class TestProtocol final : public ProtocolAdapter
{
public:
  std::optional<CallerRequest> ReadRequest(const RequestHead& aHead) const override
  {
    CallerRequest request;
    request.method = aHead.method;
    request.target = aHead.target;
    for (const HeaderField field : aHead.fields) {
      if (field.name == "Id") {
        request.id = field.value;
      } else if (field.name == "Host") {
        request.host = field.value;
      } else if (field.name == "Key") {
        request.key = field.value;
      } else if (field.name == "Left") {
        request.timeLeft = std::chrono::milliseconds(std::stoi(field.value));
      } else if (field.name == "Part") {
        request.promptParts.push_back(std::stoull(field.value, nullptr, 16));
      }
    }
    return request.id.empty() ? std::nullopt : std::optional(request);
  }
  std::string WriteEndpointRequest(const EndpointCall& aCall) const override
  {
    std::string text = aCall.request.method + " " + aCall.request.target +
                       " HTTP/1.1\r\nId: " + aCall.request.id +
                       "\r\nTo: " + std::string(aCall.endpointId) + "\r\n";
    if (!aCall.account.empty()) {
      text += "Account: " + std::string(aCall.account) + "\r\n";
    }
    if (aCall.resumeAfter) {
      text += "After: " + std::to_string(*aCall.resumeAfter) + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(aCall.body.size()) + "\r\n\r\n" +
           std::string(aCall.body);
  }
  std::string CorrelationField() const override { return "Id"; }
  ResponseKind Classify(const ResponseHead& aHead) const override
  {
    if (aHead.status == 421) {
      return ResponseKind::kMisdirected;
    }
    if (FindField(aHead.fields, "Not-Run")) {
      return ResponseKind::kNotRun;
    }
    if (!FindField(aHead.fields, "Proof").has_value()) {
      return ResponseKind::kInvalid;
    }
    return aHead.status < 300 ? ResponseKind::kSuccess : ResponseKind::kFailure;
  }
  bool PromisesNotRun(std::uint16_t aStatus) const override
  {
    return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
  }
  direct::EndpointNotice ParseNotice(const ResponseHead& aHead) const override
  {
    const auto rest = FindField(aHead.fields, "Rest");
    const auto rate = FindField(aHead.fields, "Rate");
    direct::EndpointNotice notice;
    notice.isLeaving = FindField(aHead.fields, "Leaving").has_value();
    if (rest) {
      notice.rest = std::chrono::milliseconds(std::stoi(rest->value));
    }
    if (rate) {
      notice.maxRate = std::stod(rate->value);
    }
    return notice;
  }
  HeaderFields ForwardedFields(const ResponseHead& aHead) const override
  {
    HeaderFields fields;
    for (const HeaderField field : aHead.fields) {
      if (field.name == "Proof" || field.name == "Id") {
        fields.push_back(field);
      }
    }
    return fields;
  }
  HeaderFields GeneratedFields(const CallerRequest*) const override { return {}; }
};

// Accepts connections and answers each request with a script.
class ScriptedEndpoint
{
public:
  struct Connection final : TcpOwner
  {
    Connection(ScriptedEndpoint& aEndpoint, Poller& aPoller, int aFd)
      : endpoint(aEndpoint)
      , socket(aPoller, *this)
    {
      this->socket.Adopt(aFd);
    }
    void OnInput() override
    {
      if (this->reader == nullptr) {
        this->reader = std::make_unique<RequestReader>(65536, 1 << 20);
      }
      if (this->reader->Read(this->socket.Input()) == ReadState::kDone) {
        const RequestHead head = this->reader->Head();
        const std::string body = this->reader->Body();
        this->reader.reset();
        this->endpoint.requests.push_back(head);
        this->endpoint.bodies.push_back(body);
        this->endpoint.script(*this, head);
      }
    }
    void OnInputEnd(bool) override { this->endpoint.closedCount++; }
    void Write(const std::string& aBytes) { this->socket.Write(aBytes); }
    void Close() { this->socket.Close(); }

    ScriptedEndpoint& endpoint;
    TcpSocket socket;
    std::unique_ptr<RequestReader> reader;
  };
  using Script = std::function<void(Connection&, const RequestHead&)>;

  ScriptedEndpoint(Poller& aPoller, Script aScript)
    : script(std::move(aScript))
    , listener(aPoller, [this, &aPoller](int aFd) {
      this->connections.push_back(std::make_unique<Connection>(*this, aPoller, aFd));
    })
  {
    BOOST_REQUIRE(!this->listener.Listen({ "127.0.0.1", 0 }));
  }

  // Closes the listener and resets all connections, like a crashed process.
  void Crash()
  {
    this->hasCrashed = true;
    this->listener.Close();
    for (const auto& connection : this->connections) {
      connection->socket.Close(true);
    }
  }

  std::string Field(std::size_t aRequest, const char* aName) const
  {
    const auto field = FindField(this->requests.at(aRequest).fields, aName);
    return field ? field->value : "";
  }

  Script script;
  TcpListener listener;
  std::list<std::unique_ptr<Connection>> connections;
  std::vector<RequestHead> requests;
  std::vector<std::string> bodies;
  int closedCount = 0; // connections that the gateway closed
  bool hasCrashed = false;
};

inline std::string CompleteResponse(const RequestHead& aHead, const std::string& aBody,
                                    int aStatus = 200)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nId: " + FindField(aHead.fields, "Id")->value +
         "\r\nProof: p\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string StreamHead(const RequestHead& aHead)
{
  return "HTTP/1.1 200 OK\r\nId: " + FindField(aHead.fields, "Id")->value +
         "\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string Chunk(const std::string& aData)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", aData.size());
  return std::string(size) + "\r\n" + aData + "\r\n";
}

inline bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

inline std::size_t Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    count++;
  }
  return count;
}

struct GatewayFixture
{
  GatewayFixture()
    : GatewayFixture(GatewaySettings().leaveNotice)
  {
  }

  // aHost: address of the gateway among entries; the lowest address becomes the store reader.
  explicit GatewayFixture(Duration aLeaveNotice, const std::string& aHost = "127.0.0.1")
  {
    this->settings.leaveNotice = aLeaveNotice;
    this->settings.listen = { "127.0.0.1", 0 };
    this->settings.peerListen = { aHost, 0 };
    this->gateway =
      std::make_unique<Gateway>(this->settings, Peer{ NodeId{ 1 }, Incarnation{ 1 } }, this->poller,
                                this->clock, this->random, this->protocol);
    BOOST_REQUIRE(!this->gateway->Start());
  }

  // Gives another entry what this one has read from the platform's store.
  void Prepare(Gateway& aEntry)
  {
    aEntry.RestoreUsage("");
    aEntry.SetConfig(1, this->config);
    aEntry.SetEndpoints(this->endpointInfos);
  }

  // Routes /once/, /safe/, /stream/ and /resume/ to the service "pool"; key "k" of account "shop".
  void Configure(std::uint64_t aOffset = 1, const std::string& aKey = "k")
  {
    auto config = std::make_shared<direct::ServiceConfig>();
    config->version = aOffset;
    for (const char* name : { "once", "safe", "stream", "resume" }) {
      direct::Route route;
      route.name = name;
      route.host = "h";
      route.pathPrefix = "/" + route.name + "/";
      route.kind = route.name == "once"   ? direct::CallKind::kOnce
                   : route.name == "safe" ? direct::CallKind::kSafe
                                          : direct::CallKind::kStream;
      route.isResumable = route.name == "resume";
      route.timeout = std::chrono::seconds(5);
      route.objective = std::chrono::milliseconds(500);
      route.maxRuns = route.kind == direct::CallKind::kOnce ? 1 : 2;
      route.services.push_back({ "pool", 1 });
      config->routes.push_back(route);
    }
    config->services["pool"].name = "pool";
    config->hasAccounts = true;
    direct::AccountSpec account;
    account.name = "shop";
    account.hash = HashOf(account.name);
    account.quota = this->quota;
    config->accounts.push_back(account);
    config->accountOfKey[aKey] = 0;
    config->BuildIndex();
    this->config = config;
    this->gateway->SetConfig(aOffset, config);
    this->gateway->ConfirmConfig(aOffset, this->clock.Read().steady);
    this->gateway->RestoreUsage("");
  }

  ScriptedEndpoint& AddEndpoint(ScriptedEndpoint::Script aScript, const std::string& aVersion = "")
  {
    this->endpoints.push_back(std::make_unique<ScriptedEndpoint>(this->poller, std::move(aScript)));
    direct::EndpointInfo info;
    info.id = "e" + std::to_string(this->endpoints.size());
    info.service = "pool";
    info.host = "127.0.0.1";
    info.port = this->endpoints.back()->listener.Port();
    info.slots = 8;
    info.version = aVersion;
    this->endpointInfos[info.id] = info;
    this->gateway->SetEndpoints(this->endpointInfos);
    return *this->endpoints.back();
  }

  static std::string Request(const std::string& aPath, const std::string& aId,
                             const std::string& aBody = "", const std::string& aKey = "k")
  {
    return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nId: " + aId + "\r\nKey: " + aKey +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  // Sends aBytes on a new connection, waits for aText in the answer and returns what was received.
  std::string SendAndWait(const std::string& aBytes, const std::string& aText)
  {
    RawTcpClient client(this->gateway->Port());
    client.Send(aBytes);
    RunUntil(
      [&] { return client.Received().find(aText) != std::string::npos || client.IsClosed(); });
    return client.Received();
  }

  PausedClock clock{ Now{ TimePoint{ std::chrono::seconds(1000) }, {} } };
  Poller poller;
  Random random{ 1 };
  TestProtocol protocol;
  GatewaySettings settings;
  direct::QuotaLimit quota;
  std::shared_ptr<const direct::ServiceConfig> config;
  std::list<std::unique_ptr<ScriptedEndpoint>> endpoints;
  std::map<std::string, direct::EndpointInfo> endpointInfos;
  std::unique_ptr<Gateway> gateway;
  int lastId = 0; // of requests that a test numbers
};

} // namespace caraway::gateway
