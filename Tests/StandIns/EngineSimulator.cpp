#include <StandIns/EngineSimulator.h>

#include <StandIns/EngineTokens.h>
#include <algorithm>

namespace StandIns {

static bool isScheduledBefore(SequencePointer const& left, SequencePointer const& right)
{
    return std::pair(left->priority, left->order) < std::pair(right->priority, right->order);
}

EngineSimulator::EngineSimulator(SimulatorSettings const& settings)
    : m_settings(settings)
    , m_cache(settings.cache, settings.seed)
{
}

bool EngineSimulator::submit(SequencePointer sequence)
{
    if (m_waiting.size() >= m_settings.queueLimit && m_running.size() >= m_settings.slots)
        return false;
    sequence->order = m_nextOrder++;
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), sequence, isScheduledBefore), std::move(sequence));
    return true;
}

void EngineSimulator::start(SequencePointer const& sequence)
{
    auto const context = sequence->prompt.size() + sequence->generated.size();
    auto const cached = std::max(m_cache.find(sequence->prompt), sequence->importedTokens);
    // The last token is always computed, because its output is the next token.
    auto const reusable = std::min(cached, context == 0 ? 0 : context - 1);
    sequence->cachedTokens += reusable;
    sequence->remainingPrefill = context - reusable;
    m_running.push_back(sequence);
}

void EngineSimulator::preempt()
{
    while (!m_waiting.empty() && m_running.size() >= m_settings.slots) {
        auto const& candidate = m_waiting.front();
        auto const victim = std::max_element(m_running.begin(), m_running.end(), isScheduledBefore);
        bool const isPreemptionAllowed = candidate->priorityChanged || (*victim)->priorityChanged;
        if (!isPreemptionAllowed || candidate->priority >= (*victim)->priority)
            return;
        auto const sequence = *victim;
        m_running.erase(victim);
        ++m_preemptions;
        start(candidate);
        m_waiting.erase(m_waiting.begin());
        m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), sequence, isScheduledBefore), sequence);
    }
}

std::optional<Core::Duration> EngineSimulator::beginStep()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        start(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
    }
    preempt();
    if (m_running.empty())
        return std::nullopt;
    std::size_t prefill = 0;
    for (auto const& sequence : m_running)
        prefill += sequence->remainingPrefill;
    m_stepPrefill = std::min(prefill, m_settings.prefillTokensPerStep);
    return m_settings.stepBase + m_settings.stepPerSequence * m_running.size() + m_settings.stepPerPrefillToken * m_stepPrefill;
}

void EngineSimulator::finishStep(Core::MonotonicTime now)
{
    auto budget = m_stepPrefill;
    // A copy, because end() removes sequences from m_running.
    auto const batch = m_running;
    for (auto const& sequence : batch) {
        if (sequence->outcome != Outcome::Running)
            continue;
        if (sequence->remainingPrefill > 0) {
            auto const tokens = std::min(budget, sequence->remainingPrefill);
            budget -= tokens;
            sequence->remainingPrefill -= tokens;
            sequence->prefilledTokens += tokens;
            if (sequence->remainingPrefill > 0)
                continue;
            m_cache.store(sequence->prompt, now);
        }
        computeToken(*sequence);
        if (sequence->generated.size() >= std::min(sequence->length, sequence->maximumTokens))
            end(sequence, Outcome::Finished);
        else
            sequence->progress.notifyAll();
    }
}

void EngineSimulator::computeToken(Sequence& sequence)
{
    if (sequence.generated.size() >= std::min(sequence.length, sequence.maximumTokens))
        return;
    if (sequence.generated.empty())
        sequence.generated.push_back(firstToken(sequence.prompt, sequence.seed, sequence.attemptId));
    else
        sequence.generated.push_back(nextToken(sequence.generated.back(), sequence.generated.size()));
    if (sequence.computedTokens++ == 0)
        sequence.firstToken = sequence.generated.front();
    ++m_tokensComputed;
}

void EngineSimulator::end(SequencePointer const& sequence, Outcome outcome)
{
    if (sequence->outcome != Outcome::Running)
        return;
    sequence->outcome = outcome;
    std::erase(m_running, sequence);
    std::erase(m_waiting, sequence);
    sequence->progress.notifyAll();
}

void EngineSimulator::changePriority(Sequence& sequence, unsigned priority)
{
    sequence.priority = priority;
    sequence.priorityChanged = true;
    std::sort(m_waiting.begin(), m_waiting.end(), isScheduledBefore);
}

SequencePointer EngineSimulator::find(std::string_view attemptId) const
{
    for (auto const* list : { &m_running, &m_waiting }) {
        for (auto const& sequence : *list) {
            if (sequence->attemptId == attemptId)
                return sequence;
        }
    }
    return nullptr;
}

void EngineSimulator::crash()
{
    for (auto* list : { &m_running, &m_waiting }) {
        while (!list->empty()) {
            auto const sequence = std::move(list->back());
            list->pop_back();
            end(sequence, Outcome::Crashed);
        }
    }
    m_cache.clear();
}

}
