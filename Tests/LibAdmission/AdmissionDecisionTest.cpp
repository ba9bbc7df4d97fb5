#include <LibAdmission/AdmissionDecision.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

static constexpr Core::MonotonicTime start { 1000s };

// Guards against refusals before anything is known of a service.
TEST(AdmissionDecisionTest, WithoutSamplesOrServersAllIsAdmitted)
{
    Admission::ServiceState state;
    Core::Random random(1);
    Admission::RequestProfile const request { .route = "review", .objectiveSeconds = 0.1, .tokens = 1000, .timeLeftSeconds = 0.01 };
    for (std::size_t servers : { 0u, 3u }) {
        for (int i = 0; i < 100; ++i) {
            Admission::recordArrival(state, request, start);
            auto const decision = Admission::decideAdmission(state, request, {}, { servers, 1000, true }, {}, random, start);
            EXPECT_EQ(decision.verdict, Admission::Verdict::Admit);
        }
    }
}
