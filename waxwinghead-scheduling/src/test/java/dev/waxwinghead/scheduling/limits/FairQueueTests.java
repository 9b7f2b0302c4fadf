package dev.waxwinghead.scheduling.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FairQueueTests {
    private final FairQueue<String> queue = FairQueue.create();

    @Test
    void servesAQuietFlowBeforeTheBacklogOfABusyFlow() {
        addAll("busy", 1, 100);
        queue.add("quiet", 1, "quiet", 0);
        assertThat(poll(3)).contains("quiet");
    }

    @Test
    void sharesByWeight() {
        addAll("heavy", 3, 100);
        addAll("light", 1, 100);
        List<String> first = poll(40);
        assertThat(first.stream().filter("heavy"::equals).count()).isEqualTo(30);
    }

    @Test
    void anIdleFlowAccumulatesNoCredit() {
        addAll("busy", 1, 50);
        poll(40);
        addAll("late", 1, 50);
        assertThat(poll(10).stream().filter("late"::equals).count()).isAtMost(6);
    }

    @Test
    void returnsTheNumberOfRequestsAheadOfANewOne() {
        addAll("busy", 1, 100);
        assertThat(queue.requestsAhead("busy", 1)).isEqualTo(100);
        assertThat(queue.requestsAhead("quiet", 1)).isEqualTo(1);
    }

    @Test
    void removesLateRequestsAndKeepsTheOthers() {
        queue.add("a", 1, "late", 10);
        queue.add("a", 1, "in time", 30);
        queue.add("b", 1, "late too", 19);
        assertThat(queue.removeLate(20)).containsExactly("late", "late too");
        assertThat(queue.size()).isEqualTo(1);
        assertThat(queue.poll()).hasValue("in time");
        assertThat(queue.poll()).isEmpty();
    }

    private void addAll(String flow, double weight, int count) {
        for (int i = 0; i < count; i++) {
            queue.add(flow, weight, flow, 0);
        }
    }

    private List<String> poll(int count) {
        List<String> polled = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            polled.add(queue.poll().orElseThrow());
        }
        return polled;
    }
}
