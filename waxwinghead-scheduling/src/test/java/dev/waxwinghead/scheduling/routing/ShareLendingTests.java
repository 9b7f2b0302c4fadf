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

class ShareLendingTests {
    private static final long MILLI = 1_000_000;
    private static final ShareTerms TERMS = ShareTerms.DEFAULT;
    private static final HostId OWNER = HostId.of("e1");

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void neverLendsMoreThanThereIsUnderLossDelayDuplicatesFreezesAndRestarts(long seed) {
        History history = new History(seed, 0.1);
        history.run(120_000 * MILLI);
        assertWithMessage("seed %s", seed).that(history.mostInUse).isAtMost(History.SLOTS);
        assertThat(history.started).isGreaterThan(200);
    }

    @Test
    void lendsAllToTheOnlyHostThatWantsIt() {
        ShareOwner owner = openOwner(8);
        assertThat(owner.answer("e1", new ShareRequest(1, 0, 1, true), 0)).hasValue(1);
        assertThat(owner.answer("e2", new ShareRequest(1, 0, 8, true), 0)).hasValue(7);
    }

    @Test
    void takesBackFromAHolderAboveItsFairPart() {
        ShareOwner owner = openOwner(8);
        assertThat(owner.answer("e1", new ShareRequest(1, 0, 8, true), 0)).hasValue(8);
        assertThat(owner.answer("e2", new ShareRequest(1, 0, 8, true), 0)).hasValue(0);
        assertThat(owner.answer("e1", new ShareRequest(2, 8, 8, true), 0)).hasValue(4);
        assertThat(owner.answer("e2", new ShareRequest(2, 0, 8, true), 0)).hasValue(0);
        assertThat(owner.answer("e1", new ShareRequest(3, 4, 8, true), 0)).hasValue(4);
        assertThat(owner.answer("e2", new ShareRequest(3, 0, 8, true), 0)).hasValue(4);
    }

    @Test
    void offersNoMoreThanItWouldAnswer() {
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
    void aHolderWhoseLeaseRanOutStartsNothingAndGivesUpWhatIsLeftAfterTheHoldTime() {
        ShareHolder holder = ShareHolder.create(TERMS);
        ShareRequest request = holder.request(OWNER, 1, 2, true, 0);
        holder.answered(OWNER, request.sequence(), 2, 0);
        assertThat(holder.tryStart(0)).isTrue();
        assertThat(holder.tryStart(TERMS.leaseNanos())).isFalse();
        assertThat(holder.excess(TERMS.leaseNanos())).isEqualTo(0);
        assertThat(holder.excess(TERMS.leaseNanos() + TERMS.holdNanos())).isEqualTo(1);
    }

    @Test
    void aClosedOwnerOnlyConfirms() {
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

    /** Three hosts that own 3, 3 and 2 slots, and a network that loses, delays, duplicates and reorders. */
    private static final class History {
        private static final int SLOTS = 8;
        private static final int HOSTS = 3;
        private static final int[] PARTS = {3, 3, 2};

        private final Random random;
        private final double loss;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final List<Host> hosts = new ArrayList<>();
        private long now;
        private long order;
        private int inUse;
        private int mostInUse;
        private int started;

        private History(long seed, double loss) {
            this.random = new Random(seed);
            this.loss = loss;
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new Host(i));
            }
            hosts.forEach(host -> host.owner.open());
        }

        private void run(long until) {
            hosts.forEach(host -> at(random.nextInt(100) * MILLI, host::tick));
            while (now < until) {
                Event event = events.remove();
                now = Math.max(now, event.at());
                event.action().run();
            }
        }

        private void at(long delay, Runnable action) {
            events.add(new Event(now + delay, order++, action));
        }

        private void transmit(Runnable delivery) {
            int copies = random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delay = random.nextInt(30) == 0 ? random.nextInt(15_000) : random.nextInt(40);
                if (random.nextDouble() >= loss) {
                    at(delay * MILLI, delivery);
                }
            }
        }

        private record Event(long at, long order, Runnable action) {}

        private final class Host {
            private final HostId id;
            private final int part;
            private ShareOwner owner;
            private ShareHolder holder = ShareHolder.create(TERMS);
            private int life;
            private long sequence;
            private long frozenUntil;
            private long opensAt;

            private Host(int number) {
                this.id = HostId.of("e" + number);
                this.part = PARTS[number];
                this.owner = ShareOwner.create(part, TERMS);
            }

            private void tick() {
                if (!defer(this::tick)) {
                    if (now >= opensAt) {
                        owner.open();
                    }
                    hosts.forEach(this::ask);
                    int tries = random.nextInt(5);
                    for (int i = 0; i < tries; i++) {
                        start();
                    }
                    disturb();
                    at((20 + random.nextInt(200)) * MILLI, this::tick);
                }
            }

            private void ask(Host to) {
                long sentAt = now;
                int askedLife = life;
                ShareRequest request = holder.request(to.id, ++sequence, random.nextInt(5), random.nextBoolean(), now);
                transmit(() -> to.receive(this, id + "/" + askedLife, askedLife, request, sentAt));
            }

            private void receive(Host from, String holderLife, int askedLife, ShareRequest request, long sentAt) {
                if (!defer(() -> receive(from, holderLife, askedLife, request, sentAt))) {
                    owner.answer(holderLife, request, now)
                            .ifPresent(limit ->
                                    transmit(() -> from.take(id, askedLife, request.sequence(), limit, sentAt)));
                }
            }

            private void take(HostId from, int askedLife, long asked, int limit, long sentAt) {
                if (!defer(() -> take(from, askedLife, asked, limit, sentAt)) && askedLife == life) {
                    holder.answered(from, asked, limit, sentAt);
                }
            }

            private void start() {
                if (!holder.tryStart(now)) {
                    return;
                }
                started++;
                inUse++;
                mostInUse = Math.max(mostInUse, inUse);
                ShareHolder startedAt = holder;
                at(random.nextInt(1 + (int) (TERMS.holdNanos() / MILLI)) / (1 + random.nextInt(30)) * MILLI, () -> {
                    inUse--;
                    startedAt.ended();
                });
            }

            private void disturb() {
                if (random.nextInt(400) == 0) {
                    frozenUntil = now + random.nextInt(20_000) * MILLI;
                } else if (random.nextInt(400) == 0) {
                    life++;
                    owner = ShareOwner.create(part, TERMS);
                    opensAt = now + TERMS.countedNanos();
                    holder = ShareHolder.create(TERMS);
                }
            }

            private boolean defer(Runnable action) {
                boolean frozen = now < frozenUntil;
                if (frozen) {
                    at(frozenUntil - now, action);
                }
                return frozen;
            }
        }
    }
}
