#include "lab_commands.h"

#include <iostream>

namespace toucan::lab {

int runSoaks(const relay_soak_options &options, std::uint64_t count)
{
    std::size_t broken = 0;
    for (auto current = options.seed; current < options.seed + count; ++current) {
        auto own = options;
        own.seed = current;
        relay_soak soak(own);
        const auto result = soak.run();
        const auto &seen = result.outcome;
        std::cout << "seed " << current << ": " << result.faults.size() << " faults, "
                  << seen.opened << " flows opened, " << seen.answered << " requests answered, "
                  << seen.unanswered << " given up, " << seen.resetUnopened << " openings and "
                  << seen.resetOpen << " open flows reset, " << result.recovered
                  << " of the last answered, " << result.violations.size() << " rules broken"
                  << std::endl;
        for (const auto &line : result.stalls)
            std::cout << "  stall " << line << std::endl;
        if (result.violations.empty())
            continue;
        ++broken;
        for (const auto &line : result.faults)
            std::cout << "  fault " << line << '\n';
        for (const auto &line : result.violations)
            std::cout << "  BROKEN " << line << '\n';
        std::cout << "  logs: " << result.logs.string() << std::endl;
    }
    std::cout << broken << " of " << count << " soaks broke a rule" << std::endl;
    return broken == 0 ? 0 : 1;
}

} // namespace toucan::lab
