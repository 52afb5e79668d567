// Runs of the bench: one policy at one load, and the capacity that loads are multiples of.
#pragma once

#include "bench/engine_model.h"
#include "bench/measure.h"
#include "bench/workload.h"

#include <string>
#include <vector>

namespace caraway::bench {

struct BenchOptions
{
  std::string policy = "late-binding";
  std::vector<double> loads = { 0.5, 1.0, 1.5, 3.0 };
  std::size_t endpoints = 10;
  std::size_t entries = 3;
  std::uint32_t reservations = 0; // in a pool of any size; 0: as the entry's options say
  std::uint64_t seed = 1;
  Duration warmUp = seconds(10);
  Duration length = seconds(30); // measured part of a run
  Duration reportAge = seconds(2);
};

// Names of all policies, ours first.
const std::vector<std::string>& Policies();

// Calls a second that the engines complete when they are saturated: each engine alone is kept with
// a queue that never empties, of requests drawn as in the workload, without deadlines; completions
// are counted after a warm-up and added up over the engines.
double MeasureCapacity(const BenchOptions& aOptions);

RunResult RunPolicy(const BenchOptions& aOptions, double aLoad, double aCapacity);

} // namespace caraway::bench
