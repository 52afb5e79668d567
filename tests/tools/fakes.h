// In-memory platform and processes for tests of the tools.
#pragma once

#include "core/config.h"
#include "tools/command.h"
#include "tools/ctl.h"

#include <functional>
#include <sstream>

namespace caraway::test {

class FakeWaiter final : public Waiter
{
public:
  Now Read() const override { return this->now; }
  void Sleep(Duration aTime) override
  {
    this->now.steady += aTime;
    this->now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
  }

  Now now{ TimePoint(std::chrono::seconds(1)), WallTime(std::chrono::milliseconds(1764816512345)) };
};

class FakePlatform final : public Platform
{
public:
  AppendAnswer Append(const std::vector<std::string>& aRecords) override
  {
    const AppendResult result =
      this->appendResults.empty() ? AppendResult::kAppended : this->appendResults.front();
    if (!this->appendResults.empty()) {
      this->appendResults.erase(this->appendResults.begin());
    }
    const bool isAppended = result == AppendResult::kAppended ||
                            (result == AppendResult::kUnknown && this->isUnknownAppended);
    const LogOffset first = this->log.size();
    if (isAppended) {
      this->log.insert(this->log.end(), aRecords.begin(), aRecords.end());
    }
    return { result, result == AppendResult::kAppended ? first : kNoOffset };
  }

  ReadAnswer Read(LogOffset aFrom, Duration /*aWait*/) override
  {
    ReadAnswer answer;
    answer.error = this->readError;
    answer.oldest = this->oldest;
    answer.next = this->log.size();
    for (LogOffset offset = aFrom; aFrom >= this->oldest && offset < this->log.size(); ++offset) {
      answer.records.push_back({ offset, this->log[offset] });
    }
    return answer;
  }

  VmAnswer ListVms() override { return { {}, this->vms }; }

  std::vector<std::string> log;
  LogOffset oldest = 0;
  std::vector<AppendResult> appendResults; // of the next appends; kAppended after the last
  bool isUnknownAppended = true;
  std::error_code readError;
  std::vector<Vm> vms;
};

class FakeFleet final : public Fleet
{
public:
  std::map<std::string, NodeAnswer> Get(const std::vector<Vm>& aVms,
                                        const std::string& aPath) override
  {
    std::map<std::string, NodeAnswer> answers;
    for (const Vm& vm : aVms) {
      answers[vm.name] = this->answer ? this->answer(vm, aPath) : NodeAnswer{ {}, 404, "" };
    }
    return answers;
  }

  std::function<NodeAnswer(const Vm&, const std::string&)> answer;
};

// Runs commands from the words of a command line.
struct CommandFixture
{
  FakePlatform platform;
  FakeFleet fleet;
  FakeWaiter waiter;
  Random random{ 1 };
  std::ostringstream out;
  std::ostringstream err;

  int Run(const std::vector<std::string>& aWords)
  {
    this->out.str("");
    this->err.str("");
    int code = kExitOk;
    const auto options = ReadCtlOptions(aWords, "1.0", this->out, this->err, code);
    if (!options) {
      return code;
    }
    CommandContext context{ this->platform, this->fleet, this->waiter,  this->random,
                            this->out,      this->err,   options->json, options->timeout };
    return RunCommand(*options, context);
  }

  bool OutputContains(const std::string& aText) const
  {
    return this->out.str().find(aText) != std::string::npos;
  }

  bool ErrorsContain(const std::string& aText) const
  {
    return this->err.str().find(aText) != std::string::npos;
  }
};

} // namespace caraway::test
