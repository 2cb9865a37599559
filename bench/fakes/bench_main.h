// The command line and output that all case benches share:
// --seed N, --case NAME, --list; one JSON line for each figure.
#ifndef ROSEMARYREACH_FAKES_BENCH_MAIN_H_
#define ROSEMARYREACH_FAKES_BENCH_MAIN_H_

#include <popt.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryreach::fakes {

enum class bound_kind : std::uint8_t { kNone, kAtMost, kAtLeast };

// Prints figures as JSON lines and remembers whether all were within bounds.
class bench_report {
 public:
  bench_report(std::string case_name, std::uint64_t seed)
      : case_name_(std::move(case_name)), seed_(seed) {}

  // A figure without a bound.
  void Show(std::string_view metric, double value) {
    Print(metric, value, bound_kind::kNone, 0);
  }

  void AtMost(std::string_view metric, double value, double bound) {
    Print(metric, value, bound_kind::kAtMost, bound);
  }

  void AtLeast(std::string_view metric, double value, double bound) {
    Print(metric, value, bound_kind::kAtLeast, bound);
  }

  bool ok() const { return ok_; }

 private:
  void Print(std::string_view metric,
             double value,
             bound_kind kind,
             double bound) {
    bool within = true;
    nlohmann::ordered_json line = {
        {"case", case_name_}, {"seed", seed_}, {"metric", metric}};
    line["value"] = value;
    if (kind == bound_kind::kNone) {
      line["bound"] = nullptr;
    } else {
      const bool at_most = kind == bound_kind::kAtMost;
      within = at_most ? value <= bound : value >= bound;
      line["bound"] = (at_most ? "<= " : ">= ") + nlohmann::json(bound).dump();
    }
    line["ok"] = within;
    std::puts(line.dump().c_str());
    ok_ = ok_ && within;
  }

  std::string case_name_;
  std::uint64_t seed_;
  bool ok_ = true;
};

// One named case: runs with a seed and reports its figures.
struct bench_case {
  std::string name;
  std::function<void(std::uint64_t seed, bench_report& report)> run;
};

// Runs the cases that the command line asks for. Returns the exit code: 0 if
// all figures were within their bounds, 1 if not, 2 for a wrong command line.
inline int BenchMain(int argc,
                     const char** argv,
                     const std::vector<bench_case>& cases) {
  long seed = 1;
  char* only = nullptr;
  int list = 0;
  const std::vector<poptOption> options = {
      {"seed", 's', POPT_ARG_LONG, &seed, 0, "seed of all random choices", "N"},
      {"case", 'c', POPT_ARG_STRING, &only, 0, "run one case", "NAME"},
      {"list", 'l', POPT_ARG_NONE, &list, 0, "list the cases", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(argv[0], argc, argv, options.data(), 0);
  const int parsed = poptGetNextOpt(context);
  const std::string wanted = only == nullptr ? "" : only;
  const bool extra = poptPeekArg(context) != nullptr;
  poptFreeContext(context);
  if (parsed != -1 || extra) {
    std::fprintf(stderr, "%s: %s\n", argv[0],
                 extra ? "unexpected argument" : poptStrerror(parsed));
    return 2;
  }
  bool ok = true;
  bool found = false;
  for (const bench_case& one : cases) {
    if (list != 0) {
      std::puts(one.name.c_str());
      continue;
    }
    if (!wanted.empty() && wanted != one.name) {
      continue;
    }
    found = true;
    bench_report report(one.name, static_cast<std::uint64_t>(seed));
    one.run(static_cast<std::uint64_t>(seed), report);
    std::fflush(stdout);
    ok = ok && report.ok();
  }
  if (list == 0 && !found) {
    std::fprintf(stderr, "%s: no case \"%s\"; --list shows them\n", argv[0],
                 wanted.c_str());
    return 2;
  }
  return ok ? 0 : 1;
}

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FAKES_BENCH_MAIN_H_
