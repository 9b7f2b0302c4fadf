package dev.waxwinghead.scheduling.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.model.id.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShareLeaseTests {
    private static final long MILLI = 1_000_000;
    private static final ShareTerms TERMS = ShareTerms.DEFAULT;
    private static final HostId OWNER = HostId.of("e1");

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void neverExceedsTheTotalUnderLossDelayDuplicatesFreezesAndRestarts(long seed) {
        Simulation simulation = new Simulation(seed, 0.1);
        simulation.run(120_000 * MILLI);
        assertWithMessage("seed %s", seed).that(simulation.maxInUse).isAtMost(Simulation.SLOTS);
        assertThat(simulation.started).isGreaterThan(200);
    }

    @Test
    void grantsAllFreeSlotsToTheOnlyHolderThatWantsMore() {
        ShareOwner owner = openOwner(8);
        assertThat(owner.answer("e1", new ShareRequest(1, 0, 1, true), 0)).hasValue(1);
        assertThat(owner.answer("e2", new ShareRequest(1, 0, 8, true), 0)).hasValue(7);
    }

    @Test
    void reclaimsSlotsFromAHolderAboveItsFairShare() {
        ShareOwner owner = openOwner(8);
        assertThat(owner.answer("e1", new ShareRequest(1, 0, 8, true), 0)).hasValue(8);
        assertThat(owner.answer("e2", new ShareRequest(1, 0, 8, true), 0)).hasValue(0);
        assertThat(owner.answer("e1", new ShareRequest(2, 8, 8, true), 0)).hasValue(4);
        assertThat(owner.answer("e2", new ShareRequest(2, 0, 8, true), 0)).hasValue(0);
        assertThat(owner.answer("e1", new ShareRequest(3, 4, 8, true), 0)).hasValue(4);
        assertThat(owner.answer("e2", new ShareRequest(3, 0, 8, true), 0)).hasValue(4);
    }

    @Test
    void offersNoMoreThanARequestWouldBeGranted() {
        ShareOwner owner = openOwner(3);
        owner.answer("e1", new ShareRequest(1, 0, 1, true), 0);
        owner.answer("e2", new ShareRequest(1, 0, 1, true), 0);
        owner.answer("e3", new ShareRequest(1, 0, 1, true), 0);
        owner.answer("e2", new ShareRequest(2, 0, 1, true), 0);

        int offer = owner.offer("e1", 2, true, 0);

        assertThat(offer).isEqualTo(1);
        assertThat(owner.answer("e1", new ShareRequest(2, 1, 2, true), 0)).hasValue(offer);
    }

    @Test
    void servesHoldersOfItsDataCentreFirst() {
        ShareOwner owner = openOwner(8);
        assertThat(owner.answer("e1", new ShareRequest(1, 0, 5, true), 0)).hasValue(5);
        assertThat(owner.answer("far", new ShareRequest(1, 0, 8, false), 0)).hasValue(3);
        assertThat(owner.answer("e1", new ShareRequest(2, 5, 7, true), 0)).hasValue(5);
        assertThat(owner.answer("far", new ShareRequest(2, 3, 8, false), 0)).hasValue(1);
    }

    @Test
    void aHolderWithAnExpiredLeaseStartsNothingAndHasExcessSlotsAfterTheHoldTime() {
        ShareHolder holder = ShareHolder.create(TERMS);
        ShareRequest request = holder.request(OWNER, 1, 2, true, 0);
        holder.applyAnswer(OWNER, request.sequence(), 2, 0);
        assertThat(holder.tryStart(0)).isTrue();
        assertThat(holder.tryStart(TERMS.leaseNanos())).isFalse();
        assertThat(holder.excess(TERMS.leaseNanos())).isEqualTo(0);
        assertThat(holder.excess(TERMS.leaseNanos() + TERMS.holdNanos())).isEqualTo(1);
    }

    @Test
    void aClosedOwnerOnlyConfirmsSlotsThatHoldersKeep() {
        ShareOwner owner = ShareOwner.create(8, TERMS);
        assertThat(owner.answer("e2", new ShareRequest(9, 3, 8, true), 0)).hasValue(3);
        owner.open();
        assertThat(owner.answer("e1", new ShareRequest(1, 0, 8, true), 0)).hasValue(4);
    }

    private static ShareOwner openOwner(int total) {
        ShareOwner owner = ShareOwner.create(total, TERMS);
        owner.open();
        return owner;
    }

    /**
     * Simulates three hosts that own 3, 3 and 2 slots, and a network that loses, delays, duplicates and reorders
     * messages. Hosts freeze and restart at random.
     */
    private static final class Simulation {
        private static final int SLOTS = 8;
        private static final int HOSTS = 3;
        private static final int[] OWNED_SLOTS = {3, 3, 2};

        private final Random random;
        private final double loss;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final List<Host> hosts = new ArrayList<>();
        private long now;
        private long order;
        private int inUse;
        private int maxInUse;
        private int started;

        private Simulation(long seed, double loss) {
            this.random = new Random(seed);
            this.loss = loss;
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new Host(i));
            }
            hosts.forEach(host -> host.owner.open());
        }

        private void run(long until) {
            hosts.forEach(host -> schedule(random.nextInt(100) * MILLI, host::tick));
            while (now < until) {
                Event event = events.remove();
                now = Math.max(now, event.at());
                event.action().run();
            }
        }

        private void schedule(long delay, Runnable action) {
            events.add(new Event(now + delay, order++, action));
        }

        private void transmit(Runnable delivery) {
            int copies = random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delay = random.nextInt(30) == 0 ? random.nextInt(15_000) : random.nextInt(40);
                if (random.nextDouble() >= loss) {
                    schedule(delay * MILLI, delivery);
                }
            }
        }

        private record Event(long at, long order, Runnable action) {}

        private final class Host {
            private final HostId id;
            private final int ownedSlots;
            private ShareOwner owner;
            private ShareHolder holder = ShareHolder.create(TERMS);
            private int incarnation;
            private long sequence;
            private long frozenUntil;
            private long opensAt;

            private Host(int number) {
                this.id = HostId.of("e" + number);
                this.ownedSlots = OWNED_SLOTS[number];
                this.owner = ShareOwner.create(ownedSlots, TERMS);
            }

            private void tick() {
                if (!defer(this::tick)) {
                    if (now >= opensAt) {
                        owner.open();
                    }
                    hosts.forEach(this::sendRequest);
                    int attempts = random.nextInt(5);
                    for (int i = 0; i < attempts; i++) {
                        start();
                    }
                    injectFault();
                    schedule((20 + random.nextInt(200)) * MILLI, this::tick);
                }
            }

            private void sendRequest(Host to) {
                long sentAt = now;
                int senderIncarnation = incarnation;
                ShareRequest request = holder.request(to.id, ++sequence, random.nextInt(5), random.nextBoolean(), now);
                transmit(() ->
                        to.receiveRequest(this, id + "/" + senderIncarnation, senderIncarnation, request, sentAt));
            }

            private void receiveRequest(
                    Host from, String holderIncarnation, int senderIncarnation, ShareRequest request, long sentAt) {
                if (!defer(() -> receiveRequest(from, holderIncarnation, senderIncarnation, request, sentAt))) {
                    owner.answer(holderIncarnation, request, now)
                            .ifPresent(limit -> transmit(() ->
                                    from.receiveAnswer(id, senderIncarnation, request.sequence(), limit, sentAt)));
                }
            }

            private void receiveAnswer(HostId from, int senderIncarnation, long sequenceSent, int limit, long sentAt) {
                if (!defer(() -> receiveAnswer(from, senderIncarnation, sequenceSent, limit, sentAt))
                        && senderIncarnation == incarnation) {
                    holder.applyAnswer(from, sequenceSent, limit, sentAt);
                }
            }

            private void start() {
                if (!holder.tryStart(now)) {
                    return;
                }
                started++;
                inUse++;
                maxInUse = Math.max(maxInUse, inUse);
                ShareHolder startHolder = holder;
                schedule(
                        random.nextInt(1 + (int) (TERMS.holdNanos() / MILLI)) / (1 + random.nextInt(30)) * MILLI,
                        () -> {
                            inUse--;
                            startHolder.ended();
                        });
            }

            private void injectFault() {
                if (random.nextInt(400) == 0) {
                    frozenUntil = now + random.nextInt(20_000) * MILLI;
                } else if (random.nextInt(400) == 0) {
                    incarnation++;
                    owner = ShareOwner.create(ownedSlots, TERMS);
                    opensAt = now + TERMS.committedNanos();
                    holder = ShareHolder.create(TERMS);
                }
            }

            private boolean defer(Runnable action) {
                boolean frozen = now < frozenUntil;
                if (frozen) {
                    schedule(frozenUntil - now, action);
                }
                return frozen;
            }
        }
    }
}
