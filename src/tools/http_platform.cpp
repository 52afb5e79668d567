#include "tools/http_platform.h"

#include <glib.h>

#include <memory>
#include <utility>

namespace caraway {

namespace {

constexpr std::uint16_t kStatusOk = 200;

// Runs the default main loop until Stop is called.
class LoopRun
{
public:
  LoopRun()
    : loop(g_main_loop_new(nullptr, FALSE))
  {
  }
  ~LoopRun() { g_main_loop_unref(this->loop); }
  LoopRun(const LoopRun&) = delete;
  LoopRun& operator=(const LoopRun&) = delete;

  void Run()
  {
    if (!this->isStopped) {
      g_main_loop_run(this->loop);
    }
  }

  void Stop()
  {
    this->isStopped = true;
    g_main_loop_quit(this->loop);
  }

  // Stops the loop after aTime; returns the GLib source id, which the caller removes.
  guint StopAfter(Duration aTime)
  {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
    return g_timeout_add(
      static_cast<guint>(time),
      [](void* aRun) -> gboolean {
        static_cast<LoopRun*>(aRun)->Stop();
        return G_SOURCE_CONTINUE; // removed by the caller of StopAfter
      },
      this);
  }

private:
  GMainLoop* loop;
  bool isStopped = false;
};

} // namespace

bool NodeAnswer::IsOk() const
{
  return !this->error && this->status == kStatusOk;
}

void SystemWaiter::Sleep(Duration aTime)
{
  LoopRun run;
  const guint source = run.StopAfter(aTime);
  run.Run();
  g_source_remove(source);
}

HttpPlatform::HttpPlatform(const Address& aAddress)
  : client(FormatAddress(aAddress))
{
}

AppendAnswer HttpPlatform::Append(const std::vector<std::string>& aRecords)
{
  LoopRun run;
  AppendAnswer answer;
  this->client.Append(aRecords, [&](AppendResult aResult, LogOffset aFirst) {
    answer = { aResult, aFirst };
    run.Stop();
  });
  run.Run();
  return answer;
}

ReadAnswer HttpPlatform::Read(LogOffset aFrom, Duration aWait)
{
  LoopRun run;
  ReadAnswer answer;
  this->client.Follow(
    aFrom,
    [&](LogOffset aOldest, LogOffset aNext, std::vector<LogRecord> aRecords) {
      answer.oldest = aOldest;
      answer.next = aNext;
      answer.records = std::move(aRecords);
      run.Stop();
    },
    [&](std::error_code aError) {
      answer.error = aError;
      run.Stop();
    },
    aWait);
  run.Run();
  return answer;
}

VmAnswer HttpPlatform::ListVms()
{
  LoopRun run;
  VmAnswer answer;
  this->client.ListVms([&](std::error_code aError, std::vector<Vm> aVms) {
    answer = { aError, std::move(aVms) };
    run.Stop();
  });
  run.Run();
  return answer;
}

Address AdminAddresses::AddressOf(const Vm& aVm) const
{
  const auto found = this->named.find(aVm.name);
  return found == this->named.end() ? Address{ aVm.address, this->port } : found->second;
}

HttpFleet::HttpFleet(AdminAddresses aAddresses, Duration aTimeout)
  : addresses(std::move(aAddresses))
  , timeout(aTimeout)
  , session(aTimeout)
{
}

std::map<std::string, NodeAnswer> HttpFleet::Get(const std::vector<Vm>& aVms,
                                                 const std::string& aPath)
{
  LoopRun run;
  // Shared with handlers, which may outlive this call after a timeout.
  const auto answers = std::make_shared<std::map<std::string, NodeAnswer>>();
  const auto pendingCalls = std::make_shared<std::size_t>(aVms.size());
  std::vector<std::weak_ptr<HttpCall>> calls;
  for (const Vm& vm : aVms) {
    (*answers)[vm.name].error = std::make_error_code(std::errc::timed_out);
    HttpRequest request;
    request.address = FormatAddress(this->addresses.AddressOf(vm));
    request.path = aPath;
    HttpHandlers handlers;
    handlers.data = [answers, name = vm.name](std::string_view aData) {
      (*answers)[name].body.append(aData);
    };
    handlers.end = [answers, pendingCalls, name = vm.name, &run](const HttpEnd& aEnd) {
      (*answers)[name].error = aEnd.error;
      (*answers)[name].status = aEnd.status;
      if (--*pendingCalls == 0) {
        run.Stop();
      }
    };
    calls.push_back(this->session.Start(request, std::move(handlers)));
  }
  if (aVms.empty()) {
    return {};
  }
  const guint source = run.StopAfter(this->timeout);
  run.Run();
  g_source_remove(source);
  for (const auto& call : calls) {
    CancelCall(call);
  }
  return *answers;
}

} // namespace caraway
