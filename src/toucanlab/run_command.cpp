#include "lab_commands.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <toucan/lab/experiment.h>

namespace toucan::lab {
namespace {

void printService(const service_result &item)
{
    const auto &calls = item.calls;
    std::cout
        << fmt::format("  service {}\n", item.name)
        << fmt::format("    submissions   begun {}  delivered {}  in time {}  refused unrun {}  "
                       "outcome unknown {}  "
                       "timed out {}  abandoned {}\n",
               calls.submissions, calls.delivered, calls.deliveredInTime, calls.refused,
               calls.unknown, calls.timeouts, calls.abandoned)
        << fmt::format(
               "    watches       opened {}  notifications {}  ended with word {}  broken {}\n",
               calls.watchesOpened, calls.notifications, calls.watchesEnded, calls.watchesBroken)
        << fmt::format("    documents     whole {}  failed {}   wrong answers {}\n", calls.pulls,
               calls.pullFailures, calls.wrongAnswers)
        << fmt::format(
               "    targets       imbalance {:.2f}  shed {}  overloaded when cold {}  toppled {}\n",
               item.imbalance, item.shed, item.overloadedWhenCold, item.toppled)
        << "    delivered in each second:";
    for (const auto &second : item.seconds)
        std::cout << ' ' << second.delivered;
    std::cout << '\n';
}

void print(const experiment_result &outcome)
{
    std::cout << "deployment " << outcome.name << '\n';
    if (!outcome.started) {
        std::cout << "  did not start in time\n";
        return;
    }
    for (const auto &line : outcome.log)
        std::cout << "  " << line << '\n';
    for (const auto &item : outcome.services)
        printService(item);
    std::cout << fmt::format("  run twice {}  refused but run {}  receipts without a run {}\n\n",
        outcome.doubles, outcome.falseRefusals, outcome.lostReceipts);
}

} // namespace

int runScenario(const std::string &fileName, const std::string &programs, bool asJson)
{
    const auto read = readScenario(fileName);
    const auto *plans = valueOf(read);
    if (!plans) {
        std::cerr << errorOf(read)->detail << '\n';
        return errorInfo(errorOf(read)->kind).exitCode;
    }
    auto all = nlohmann::json::array();
    bool good = true;
    for (const auto &plan : *plans) {
        const auto outcome = runExperiment(plan, programs);
        good = good && outcome.started && outcome.doubles == 0 && outcome.falseRefusals == 0
            && outcome.lostReceipts == 0;
        if (asJson)
            all.push_back(outcome.toJson());
        else
            print(outcome);
    }
    if (asJson)
        std::cout << all.dump(2) << '\n';
    return good ? 0 : 1;
}

} // namespace toucan::lab
