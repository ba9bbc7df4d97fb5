#pragma once

#include <cstdint>
#include <random>

namespace Core {

/// A seeded random number generator, so that tests are reproducible. Not thread safe.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// A uniform number in [0, bound). Precondition: bound > 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine); }

    /// A uniform number in [0, 1).
    [[nodiscard]] double unit() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }

    /// 64 uniform bits.
    [[nodiscard]] std::uint64_t bits() { return m_engine(); }

    /// The engine, for the standard library's distributions.
    [[nodiscard]] std::mt19937_64& engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

}
